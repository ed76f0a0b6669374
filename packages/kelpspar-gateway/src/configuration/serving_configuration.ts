import type { ServiceDefinition } from "./service_definition.ts";
import type { ServiceRoute } from "./service_route.ts";

/** A client account and the keys that prove it. */
export interface ClientAccount {
  readonly name: string;
  readonly callerKeys: readonly string[];
  /** Goes before the route's priority; 0 is the most urgent. */
  readonly priority: number | undefined;
}

/** What a caller may send and how long it may take, bytes and milliseconds. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMilliseconds: number;
  readonly idleTimeoutMilliseconds: number;
}

/** One whole accepted configuration. Immutable. */
export interface ServingConfiguration {
  /** Grows with each accepted configuration, in uneven steps. */
  readonly version: number;
  readonly routes: readonly ServiceRoute[];
  readonly services: readonly ServiceDefinition[];
  readonly limits: CallerLimits;
  /** Undefined when callers need no key. */
  readonly accounts: readonly ClientAccount[] | undefined;
}
