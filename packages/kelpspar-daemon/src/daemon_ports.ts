import type {
  EndpointClient,
  TableService,
  VmList,
  WeightStore,
} from "kelpspar-backends";
import type { RandomSource, TimerService } from "kelpspar-shared";
import type { DaemonLog } from "./log/daemon_log.ts";
import type { PeerClient } from "./peers/peer_client.ts";

/** A daemon's external dependencies; tests pass fakes. */
export interface DaemonPorts {
  readonly table: TableService;
  readonly vmList: VmList;
  readonly weightStore: WeightStore;
  readonly endpoints: EndpointClient;
  readonly peers: PeerClient;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: DaemonLog;
}
