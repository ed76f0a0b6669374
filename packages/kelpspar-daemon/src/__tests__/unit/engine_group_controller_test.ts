import type { CoreBench } from "../support/core_harness.ts";
import { expect } from "earl";
import { test } from "node:test";
import { startOrdersRole } from "../../orders/start_engine_group_controllers.ts";
import { createCoreBench } from "../support/core_harness.ts";
import { createConfiguration, ENDPOINT_VMS } from "../support/test_site.ts";

const LEASE = { table: "leases", key: "generate" } as const;
const DEAD_HOLDERS = {
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
const LONGEST_MILLISECONDS = 60_000;

test("a dead holder's last order is waited for, whenever the engines are listed", async () => {
  // Symptom: an engine that ignores fencing numbers is ordered to and fro.
  // Sequence: the holder dies with an order on its way; another daemon boots,
  // has its configuration before its list of VMs, and takes the lease over.
  // Cause: a group without engines is taken for one whose engines all check,
  // and that is never looked at again.
  const early = await takeOverAt(0);
  const late = await takeOverAt(1_000);
  expect([early >= 11_500, late >= 11_500]).toEqual([true, true]);
});

/** When the lease is taken from its dead holder, milliseconds. */
async function takeOverAt(listedAt: number): Promise<number> {
  const bench = createCoreBench({ configuration: withEngines() });
  const { core, ports, timer } = bench;
  const write = { ...LEASE, value: DEAD_HOLDERS };
  await ports.table.commit({ writes: [write] });
  if (listedAt === 0) listEngine(bench);
  const stop = startOrdersRole({
    ...ports,
    ...core,
    daemonId: "daemon-1",
    liveDaemonIds: () => ["daemon-1"],
    planMilliseconds: 2_000,
    onTakenOut: () => {},
  });
  await timer.advance(listedAt);
  listEngine(bench);
  while (timer.now() < LONGEST_MILLISECONDS) {
    await timer.advance(250);
    const [row] = await ports.table.read([LEASE]);
    const { holder } = row?.value as { readonly holder: string };
    if (holder !== DEAD_HOLDERS.holder) break;
  }
  stop();
  await bench.stop();
  return timer.now();
}

function listEngine({ core }: CoreBench): void {
  core.state.update(() => ({ vms: [...ENDPOINT_VMS, ENGINE_VM] }));
}

function withEngines(): Readonly<Record<string, unknown>> {
  const good = createConfiguration();
  return {
    models: [{ id: "m", version: "1" }],
    services: [
      ...good["services"] as readonly unknown[],
      { id: "generate", kind: "engine", models: ["m"] },
    ],
  };
}
