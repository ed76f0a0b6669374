import type { WireRouteOptions } from "../wire/wire_route_options.ts";

/** A route that has a share of a site's requests. */
export interface MixedRoute extends Omit<WireRouteOptions, "stages"> {
  /** Its share, as a part of the sum of all. */
  readonly weight: number;
  readonly stages: readonly MixedStage[];
}

/** A stage of such a route. */
export interface MixedStage {
  readonly service: string;
  /** Numbers of the stages whose results it reads. */
  readonly after: readonly number[];
  /** Fewest and most pieces of a request that has any. */
  readonly pieces: readonly [number, number];
  /** Share of the requests that have pieces. */
  readonly share: number;
}
