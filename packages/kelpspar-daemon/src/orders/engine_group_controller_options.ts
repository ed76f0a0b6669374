import type {
  EndpointClient,
  TableService,
  WeightStore,
} from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import type { EndpointMonitor } from "../endpoints/endpoint_monitor.ts";
import type { DaemonLog } from "../log/daemon_log.ts";
import type { DrainStore } from "../operators/drain_store.ts";
import type { Drains } from "../operators/drains.ts";
import type { DecisionParts } from "../scheduling/decision_parts.ts";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { DaemonState } from "../state/daemon_state.ts";
import type { StateStore } from "../state/state_store.ts";

/** Dependencies of an `EngineGroupController`. */
export interface EngineGroupControllerOptions {
  /** The engine service, which is also the group's name. */
  readonly service: string;
  readonly incarnation: string;
  readonly state: StateStore<DaemonState>;
  readonly configuration: ConfigurationIndexReader;
  readonly parts: DecisionParts;
  readonly endpointMonitor: EndpointMonitor;
  readonly endpoints: EndpointClient;
  readonly table: TableService;
  readonly weightStore: WeightStore;
  /** Engines taken out of routing for a pending order. */
  readonly takenOut: DrainStore;
  readonly timer: TimerService;
  readonly log: DaemonLog;
  readonly onTakenOut: (takenOut: Drains) => void;
}
