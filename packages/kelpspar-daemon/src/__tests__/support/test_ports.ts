import type { ListedVm } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import type { DaemonPorts } from "../../daemon_ports.ts";
import type { PeerClient } from "../../peers/peer_client.ts";
import { KelpsparError, SeededRandom } from "kelpspar-shared";
import { InMemoryTable, LaggingVmList } from "kelpspar-standins";
import { FakeEndpoints } from "./fake_endpoints.ts";
import { QuietLog } from "./recording_log.ts";
import { ENDPOINT_VMS } from "./test_site.ts";

/** Ports whose other sides are fakes that a test can reach. */
export interface TestPorts extends DaemonPorts {
  readonly table: InMemoryTable;
  readonly vmList: LaggingVmList;
  readonly endpoints: FakeEndpoints;
  readonly log: QuietLog;
}

/** A peer client that reaches nobody. */
export const SILENT_PEERS: PeerClient = {
  exchange: refuse,
  configuration: refuse,
  askClaim: refuse,
};

/** Creates ports on a timer. */
export function createTestPorts(
  timer: TimerService,
  options: { readonly vms?: readonly ListedVm[] } = {},
): TestPorts {
  const vms = options.vms ?? ENDPOINT_VMS;
  return {
    table: new InMemoryTable({ timer }),
    vmList: new LaggingVmList({ timer, lagMilliseconds: 0, vms }),
    weightStore: {
      requestLoad: async () => ({ granted: true, retryAfterMilliseconds: 0 }),
    },
    endpoints: new FakeEndpoints(),
    peers: SILENT_PEERS,
    timer,
    random: new SeededRandom(1),
    log: new QuietLog(),
  };
}

async function refuse(): Promise<never> {
  throw new KelpsparError("peer_unavailable", "Nobody is there");
}
