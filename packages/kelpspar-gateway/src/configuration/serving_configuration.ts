import type { ServiceDefinition } from "./service_definition.ts";
import type { ServiceRoute } from "./service_route.ts";

/** A client account and the keys that authenticate it. */
export interface ClientAccount {
  readonly name: string;
  readonly callerKeys: readonly string[];
  /** Takes precedence over the route's priority; 0 is the highest. */
  readonly priority: number | undefined;
}

/** Size limits (bytes) and timeouts (milliseconds) of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** A complete accepted configuration. Immutable. */
export interface ServingConfiguration {
  /** Rises with each accepted configuration, in uneven steps. */
  readonly version: number;
  readonly routes: readonly ServiceRoute[];
  readonly services: readonly ServiceDefinition[];
  readonly limits: CallerLimits;
  /** Undefined when callers need no key. */
  readonly accounts: readonly ClientAccount[] | undefined;
}
