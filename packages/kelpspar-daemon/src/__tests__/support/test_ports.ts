import type { ListedVm } from "kelpspar-backends";
import type { TimerService } from "kelpspar-shared";
import type { DaemonPorts } from "../../daemon_ports.ts";
import type { PeerClient } from "../../peers/peer_client.ts";
import { KelpsparError, SeededRandom } from "kelpspar-shared";
import { InMemoryTable, LaggingVmList } from "kelpspar-standins";
import { FakeEndpoints } from "./fake_endpoints.ts";
import { RecordingLog } from "./recording_log.ts";
import { ENDPOINT_VMS } from "./test_site.ts";

/** Ports with fakes that a test can control. */
export interface TestPorts extends DaemonPorts {
  readonly table: InMemoryTable;
  readonly vmList: LaggingVmList;
  readonly endpoints: FakeEndpoints;
  readonly log: RecordingLog;
}

/** A peer client whose calls all fail. */
export const UNREACHABLE_PEERS: PeerClient = {
  exchange: failUnreachable,
  configuration: failUnreachable,
  askClaim: failUnreachable,
};

/** Creates fake ports on a timer. */
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
    peers: UNREACHABLE_PEERS,
    timer,
    random: new SeededRandom(1),
    log: new RecordingLog(),
  };
}

async function failUnreachable(): Promise<never> {
  throw new KelpsparError("peer_unavailable", "The peer is unreachable");
}
