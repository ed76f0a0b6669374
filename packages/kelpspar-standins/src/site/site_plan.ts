import type { EndpointSettings } from "../endpoint/endpoint_settings.ts";
import type { PlatformSettings } from "../platform/platform_settings.ts";

/** A pool of identical endpoints. */
export interface PoolPlan {
  readonly service: string;
  readonly count: number;
  /** Whether endpoints refuse orders with a stale fencing number. */
  readonly checksFencing?: boolean;
  readonly settings: Omit<EndpointSettings, "service">;
}

/** The composition of a site, for a demonstration or an experiment. */
export interface SitePlan {
  readonly daemons: number;
  readonly availabilityZones: readonly string[];
  readonly pools: readonly PoolPlan[];
  /** The complete configuration, as an operator would apply it. */
  readonly configuration: unknown;
  readonly platform?: PlatformSettings;
  /** Path of the daemons' program; default: the built daemon. */
  readonly daemonProgram?: string;
  /** Override each daemon's settings. */
  readonly daemonSettings?: Readonly<Record<string, unknown>>;
  /** Node.js arguments of daemons, such as for profiling. */
  readonly daemonNodeArguments?: readonly string[];
  /** Seed of the endpoints' random generators. */
  readonly seed: number;
}
