import { test } from "node:test";
import { expect } from "earl";
import fc from "fast-check";
import { World } from "./claims_world.ts";

// Checks the guarantees of the model check for many keys whose writes share
// batches: thousands of seeded random runs, a few hundred steps each, through
// the real batcher and the real ledger, with free and bound keys. Guards
// against a batch that loses, swaps or repeats the answer of a row, a ledger
// that drops a bound key, and a claim lost between the two.

const RUNS = 2_000;
const STEPS = 300;

test("thousands of random runs with many keys keep every guarantee", (t) => {
  const counts = new Map<string, number>();
  let transactions = 0;
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const world = new World(seed);
      for (let step = 0; step < STEPS; step++) world.step();
      world.faults = false;
      for (let step = 0; world.hasWork() && step < 9_000; step++) world.step();
      world.check();
      expect(world.hasWork()).toEqual(false);
      world.checkRows();
      transactions += world.rows.size;
      for (const { answer } of world.submissions) {
        const name = answer.includes(":") ? "completed" : answer;
        counts.set(name, (counts.get(name) ?? 0) + 1);
      }
    }),
    { numRuns: RUNS, seed: 7 },
  );
  t.diagnostic(`${RUNS} runs, ${transactions} rows`);
  t.diagnostic(JSON.stringify(Object.fromEntries(counts)));
  expect(counts.get("")).toEqual(undefined);
  for (
    const name of ["completed", "not_run", "outcome_unknown", "overloaded"]
  ) {
    expect(counts.get(name) ?? 0).toBeGreaterThan(RUNS / 20);
  }
});
