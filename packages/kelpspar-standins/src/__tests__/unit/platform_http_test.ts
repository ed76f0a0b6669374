import type { ListedVm, TableService } from "kelpspar-backends";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import {
  HttpTableService,
  HttpVmList,
  HttpWeightStore,
  JsonHttpClient,
} from "kelpspar-backends";
import {
  KelpsparError,
  ManualTimer,
  SeededRandom,
  SystemTimer,
} from "kelpspar-shared";
import { startPlatform } from "../../platform/start_platform.ts";
import { InMemoryTable } from "../../table/in_memory_table.ts";

const share = fc.constantFrom(0, 0.3);
const faults = fc.record({
  loseAnswerEvery: fc.integer({ min: 0, max: 3 }),
  loseAnswerShare: share,
  delayWriteShare: share,
  outage: fc.constantFrom("none", "none", "unavailable", "reset"),
  transactionsPerSecond: fc.constantFrom(0, 3),
});
const step = fc.record({
  key: fc.constantFrom("a", "b"),
  expectedVersion: fc.integer({ min: 0, max: 2 }),
});

test("the table over HTTP behaves like the table in memory", async () => {
  const timer = new ManualTimer();
  await fc.assert(
    fc.asyncProperty(
      faults,
      fc.integer(),
      fc.array(step, { minLength: 1, maxLength: 6 }),
      async (faults, seed, steps) => {
        const random = new SeededRandom(seed);
        const memory = new InMemoryTable({ timer, random, faults });
        const platform = await startPlatform(
          { seed, table: { faults } },
          { timer },
        );
        const origin = platform.origins.table;
        const http = new HttpTableService({ origin, timer: new SystemTimer() });
        try {
          for (const { key, expectedVersion } of steps) {
            const outcomes = [memory, http].map((table) =>
              commitAndRead(table, { key, expectedVersion })
            );
            const [expected, actual] = await Promise.all(outcomes);
            expect(actual).toEqual(expected);
          }
        } finally {
          await http.close();
          await platform.close();
        }
      },
    ),
    { seed: 1, numRuns: 40 },
  );
});

test("the VM list lags but never goes back, and loads are rate limited", async () => {
  const timer = new ManualTimer();
  const client = { timer: new SystemTimer() };
  const platform = await startPlatform({
    vms: { lagMilliseconds: 500 },
    weights: { loadsPerSecond: 1 },
  }, { timer });
  const list = new HttpVmList({ origin: platform.origins.vms, ...client });
  const control = new JsonHttpClient({
    origin: platform.origins.vms,
    ...client,
  });
  const weights = new HttpWeightStore({
    origin: platform.origins.weights,
    ...client,
  });
  try {
    const body = { vms: [createVm("leaving")] };
    await control.exchange({ method: "POST", path: "/v1/vms", body });
    expect((await list.list()).vms).toEqual([]);
    await timer.advance(500);
    expect((await list.list()).vms).toEqual(body.vms);
    platform.vms.replace([createVm("live")]);
    platform.vms.setLag(0);
    platform.vms.replace([]);
    await timer.advance(500);
    expect((await list.list()).vms).toEqual([]);
    const loads = [
      await weights.requestLoad("m", "1"),
      await weights.requestLoad("m", "1"),
    ];
    expect(loads.map(({ granted }) => granted)).toEqual([true, false]);
    expect(loads[1]?.retryAfterMilliseconds).toEqual(1_000);
  } finally {
    await Promise.all([list.close(), control.close(), weights.close()]);
    await platform.close();
  }
});

async function commitAndRead(
  table: TableService,
  options: { readonly key: string; readonly expectedVersion: number },
): Promise<unknown> {
  const write = { table: "t", value: options, ...options };
  const committed = await outcomeOf(table.commit({ writes: [write] }));
  const read = await outcomeOf(table.read([{ table: "t", key: options.key }]));
  return { committed, read };
}

async function outcomeOf(pending: Promise<unknown>): Promise<unknown> {
  try {
    return await pending;
  } catch (error) {
    if (error instanceof KelpsparError) return error.result;
    throw error;
  }
}

function createVm(state: ListedVm["state"]): ListedVm {
  return {
    id: "vm1",
    incarnation: "i1",
    address: "127.0.0.1",
    port: 1,
    availabilityZone: "z1",
    kind: "endpoint",
    service: "encode",
    state,
    checksFencing: false,
  };
}
