import type { RandomSource, TimerService } from "kelpspar-shared";
import type { EndpointMonitor } from "../endpoints/endpoint_monitor.ts";
import type { DecisionParts } from "../scheduling/decision_parts.ts";
import type { FairScheduler } from "../scheduling/fair_scheduler.ts";
import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";

/** What a daemon's view of the fleet rests on. */
export interface FleetOptions {
  readonly daemonId: string;
  readonly incarnation: string;
  readonly address: string;
  /** The port that callers and daemons connect to, once it is known. */
  readonly port: () => number;
  readonly availabilityZone: string;
  readonly digestMilliseconds: number;
  readonly state: StateStore<DaemonState>;
  readonly parts: DecisionParts;
  readonly scheduler: FairScheduler;
  readonly watch: EndpointMonitor;
  readonly revision: () => number;
  readonly keyEpoch: () => number;
  /** Share of the requests it may run that are free, 0 to 1. */
  readonly spareShare: () => number;
  readonly addressKeepMilliseconds: () => number;
  readonly timer: TimerService;
  readonly random: RandomSource;
}
