import type { RandomSource, TimerService } from "kelpspar-shared";
import type { EndpointMonitor } from "../endpoints/endpoint_monitor.ts";
import type { DecisionParts } from "../scheduling/decision_parts.ts";
import type { FairScheduler } from "../scheduling/fair_scheduler.ts";
import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";

/** Dependencies of a `Fleet`. */
export interface FleetOptions {
  readonly daemonId: string;
  readonly incarnation: string;
  readonly address: string;
  /** The port that callers and daemons connect to; known once listening. */
  readonly port: () => number;
  readonly availabilityZone: string;
  readonly digestMilliseconds: number;
  readonly state: StateStore<DaemonState>;
  readonly parts: DecisionParts;
  readonly scheduler: FairScheduler;
  readonly endpointMonitor: EndpointMonitor;
  readonly revision: () => number;
  readonly keyEpoch: () => number;
  /** Fraction of the request capacity that is free, 0 to 1. */
  readonly spareShare: () => number;
  readonly addressKeepMilliseconds: () => number;
  readonly timer: TimerService;
  readonly random: RandomSource;
}
