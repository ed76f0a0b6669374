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

/** What the control of an engine group works on. */
export interface EngineGroupOptions {
  /** The engine service; it is the group's name as well. */
  readonly service: string;
  readonly incarnation: string;
  readonly state: StateStore<DaemonState>;
  readonly configuration: ConfigurationIndexReader;
  readonly parts: DecisionParts;
  readonly watch: EndpointMonitor;
  readonly endpoints: EndpointClient;
  readonly table: TableService;
  readonly weightStore: WeightStore;
  /** Engines that are out of routing because an order is due. */
  readonly takenOut: DrainStore;
  readonly timer: TimerService;
  readonly log: DaemonLog;
  readonly onTakenOut: (takenOut: Drains) => void;
}
