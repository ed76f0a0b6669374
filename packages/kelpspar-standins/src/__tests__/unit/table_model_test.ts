import type { TableRow, TableScan, TableWrite } from "kelpspar-backends";
import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { KelpsparError, ManualTimer } from "kelpspar-shared";
import { InMemoryTable } from "../../table/in_memory_table.ts";

const MAXIMUM_ROWS = 100;

/** A reference model of the table: a plain list of rows. */
class ReferenceTable {
  rows: TableRow[] = [];

  find(table: string, key: string): TableRow | null {
    return this.rows.find((row) => row.table === table && row.key === key) ??
      null;
  }

  commit(writes: readonly TableWrite[]): unknown {
    const conflicts = writes.filter(({ table, key, expectedVersion }) =>
      expectedVersion !== undefined &&
      (this.find(table, key)?.version ?? 0) !== expectedVersion
    ).map(({ table, key }) => ({ table, key, row: this.find(table, key) }));
    if (conflicts.length > 0) return { committed: false, conflicts };
    const versions = writes.map(({ table, key, value }) => {
      const old = this.find(table, key);
      this.rows = this.rows.filter((row) => row !== old);
      if (value === null) return 0;
      const version = (old?.version ?? 0) + 1;
      this.rows.push({ table, key, value, version });
      return version;
    });
    return { committed: true, versions };
  }

  scan({ table, prefix, after, limit }: TableScan): TableRow[] {
    return this.rows
      .filter((row) => row.table === table && row.key.startsWith(prefix))
      .filter((row) => after === undefined || row.key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1)
      .slice(0, limit);
  }
}

const table = fc.constantFrom("claims", "leases");
const key = fc.constantFrom("", "a", "a/1", "a/2", "ab", "b/1", "b/é", "b/🌾");
const write: fc.Arbitrary<TableWrite> = fc.record({
  table,
  key,
  value: fc.option(fc.integer({ min: 0, max: 3 }), { nil: null }),
  expectedVersion: fc.integer({ min: 0, max: 2 }),
}, { requiredKeys: ["table", "key", "value"] });
const scan: fc.Arbitrary<TableScan> = fc.record({
  table,
  prefix: key,
  after: key,
  limit: fc.integer({ min: 0, max: 4 }),
}, { requiredKeys: ["table", "prefix", "limit"] });
const step = fc.oneof(
  fc.uniqueArray(write, {
    maxLength: 3,
    selector: (entry) => `${entry.table}/${entry.key}`,
  }).map((writes) => ({ writes })),
  scan,
);

test("the in-memory table behaves like the reference model", async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 40 }), async (steps) => {
      const real = new InMemoryTable({ timer: new ManualTimer() });
      const reference = new ReferenceTable();
      for (const each of steps) {
        if ("writes" in each) {
          const result: unknown = await real.commit(each);
          expect(result).toEqual(reference.commit(each.writes));
        } else {
          expect(await real.scan(each)).toEqual(reference.scan(each));
        }
        const keys = reference.rows.concat({
          table: "claims",
          key: "absent",
          value: 0,
          version: 0,
        });
        expect(await real.read(keys)).toEqual([...reference.rows, null]);
      }
    }),
    { seed: 1, numRuns: 300 },
  );
});

test("a write whose response is lost is committed, at once or late", async () => {
  // Guards against treating a claim as unwritten although it was committed: the
  // connection or the service can fail between the commit and the response.
  const timer = new ManualTimer();
  const real = new InMemoryTable({
    timer,
    faults: { loseAnswerEvery: 2, delayWriteEvery: 3 },
  });
  await commit(real, "kept");
  expect(await failureOf(commit(real, "lost"))).toEqual("write_unknown");
  expect(await failureOf(commit(real, "later"))).toEqual("write_unknown");
  expect(await keysOf(real)).toEqual(["kept", "lost"]);
  await timer.advance(500);
  expect(await keysOf(real)).toEqual(["kept", "later", "lost"]);
});

test("refused transactions write nothing, and the rate limit refills", async () => {
  const timer = new ManualTimer();
  const real = new InMemoryTable({
    timer,
    faults: { transactionsPerSecond: 2, outage: "unavailable" },
  });
  expect(await failureOf(commit(real, "outage"))).toEqual("table_unavailable");
  real.setFaults({ outage: "none" });
  await commit(real, "first");
  await commit(real, "second");
  expect(await failureOf(commit(real, "third"))).toEqual("table_unavailable");
  await timer.advance(500);
  await commit(real, "fourth");
  const writes = Array.from({ length: MAXIMUM_ROWS + 1 }, (_, index) => ({
    table: "claims",
    key: `${index}`,
    value: 1,
  }));
  const tooMany = failureOf(real.commit({ writes }));
  expect(await tooMany).toEqual("platform_refused");
  expect(await keysOf(real)).toEqual(["first", "fourth", "second"]);
});

test("a write that times out can still be committed later", async () => {
  // A timeout doesn't revoke a write: when the service is slower than the
  // writer's timeout, the row appears after the writer gave up.
  const timer = new ManualTimer();
  const real = new InMemoryTable({
    timer,
    faults: { latencyMilliseconds: 1_500 },
  });
  const slow = failureOf(commit(real, "slow"));
  await timer.advance(1_000);
  expect(await slow).toEqual("write_unknown");
  await timer.advance(500);
  real.setFaults({ latencyMilliseconds: 0 });
  expect(await keysOf(real)).toEqual(["slow"]);
  real.setFaults({ outage: "hang" });
  const hanging = failureOf(commit(real, "hanging"));
  await timer.advance(1_000);
  expect(await hanging).toEqual("write_unknown");
  real.setFaults({ outage: "none" });
  expect(await keysOf(real)).toEqual(["slow"]);
});

async function commit(real: InMemoryTable, key: string): Promise<void> {
  await real.commit({ writes: [{ table: "claims", key, value: 1 }] });
}

async function keysOf(real: InMemoryTable): Promise<string[]> {
  const rows = await real.scan({ table: "claims", prefix: "", limit: 9 });
  return rows.map(({ key }) => key);
}

async function failureOf(pending: Promise<unknown>): Promise<string> {
  try {
    await pending;
    return "none";
  } catch (error) {
    return error instanceof KelpsparError ? error.result : String(error);
  }
}
