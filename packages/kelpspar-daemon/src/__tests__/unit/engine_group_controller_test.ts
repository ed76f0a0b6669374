import type { CoreHarness } from "../support/core_harness.ts";
import { expect } from "earl";
import { test } from "node:test";
import { startEngineGroupControllers } from "../../orders/start_engine_group_controllers.ts";
import { createCoreHarness } from "../support/core_harness.ts";
import { createConfiguration, ENDPOINT_VMS } from "../support/test_site.ts";

const LEASE = { table: "leases", key: "generate" } as const;
const DEAD_HOLDER_ROW = {
  holder: "dead",
  fencingNumber: 1,
  leaseMilliseconds: 10_000,
  longestOrderMilliseconds: 1_500,
};
const ENGINE_VM = {
  id: "engine-1",
  incarnation: "engine-1-a",
  address: "127.0.0.1",
  port: 1,
  availabilityZone: "a",
  kind: "endpoint",
  service: "generate",
  state: "live",
  checksFencing: false,
} as const;
const MAXIMUM_WAIT_MILLISECONDS = 60_000;

test("a lease takeover waits for a dead holder's last order, whenever the engines are listed", async () => {
  // Failure: an engine that ignores fencing numbers gets conflicting orders. The
  // holder dies with an order in flight; another daemon starts, gets its
  // configuration before its VM list, and takes the lease over. A group without
  // engines was assumed to have only engines that check fencing numbers, and
  // the assumption was never revised.
  const early = await measureTakeover(0);
  const late = await measureTakeover(1_000);
  expect([early >= 11_500, late >= 11_500]).toEqual([true, true]);
});

/** The time of the takeover from the dead holder, in milliseconds. */
async function measureTakeover(listedAt: number): Promise<number> {
  const harness = createCoreHarness({ configuration: withEngines() });
  const { core, ports, timer } = harness;
  const write = { ...LEASE, value: DEAD_HOLDER_ROW };
  await ports.table.commit({ writes: [write] });
  if (listedAt === 0) listEngine(harness);
  const stop = startEngineGroupControllers({
    ...ports,
    ...core,
    daemonId: "daemon-1",
    liveDaemonIds: () => ["daemon-1"],
    planMilliseconds: 2_000,
    onTakenOut: () => {},
  });
  await timer.advance(listedAt);
  listEngine(harness);
  while (timer.now() < MAXIMUM_WAIT_MILLISECONDS) {
    await timer.advance(250);
    const [row] = await ports.table.read([LEASE]);
    const { holder } = row?.value as { readonly holder: string };
    if (holder !== DEAD_HOLDER_ROW.holder) break;
  }
  stop();
  await harness.stop();
  return timer.now();
}

function listEngine({ core }: CoreHarness): void {
  core.state.update(() => ({ vms: [...ENDPOINT_VMS, ENGINE_VM] }));
}

function withEngines(): Readonly<Record<string, unknown>> {
  const base = createConfiguration();
  return {
    models: [{ id: "m", version: "1" }],
    services: [
      ...base["services"] as readonly unknown[],
      { id: "generate", kind: "engine", models: ["m"] },
    ],
  };
}
