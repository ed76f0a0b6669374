import type { EndpointSettings } from "../endpoint/endpoint_settings.ts";
import type { PlatformSettings } from "../platform/platform_settings.ts";

/** A pool of endpoints of a site. */
export interface PoolPlan {
  readonly service: string;
  readonly count: number;
  /** True for endpoints that refuse orders with an old fencing number. */
  readonly checksFencing?: boolean;
  readonly settings: Omit<EndpointSettings, "service">;
}

/** What a site consists of, for a demonstration or an experiment. */
export interface SitePlan {
  readonly daemons: number;
  readonly availabilityZones: readonly string[];
  readonly pools: readonly PoolPlan[];
  /** The whole configuration, as an operator would apply it. */
  readonly configuration: unknown;
  readonly platform?: PlatformSettings;
  /** The program of each daemon; default the built daemon. */
  readonly daemonProgram?: string;
  /** Laid over each daemon's settings. */
  readonly daemonSettings?: Readonly<Record<string, unknown>>;
  /** Arguments for Node.js itself when it runs a daemon, for profiles. */
  readonly daemonNodeArguments?: readonly string[];
  /** Seeds the endpoints' chance. */
  readonly seed: number;
}
