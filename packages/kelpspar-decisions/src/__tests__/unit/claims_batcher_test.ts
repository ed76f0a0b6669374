import type { ClaimBatch, ClaimWriteKind } from "../../claims/mod.ts";
import { test } from "node:test";
import { expect } from "earl";
import { ClaimBatcher } from "../../claims/mod.ts";

function add(
  batcher: ClaimBatcher,
  operationId: string,
  options: { readonly kind?: ClaimWriteKind; readonly now?: number } = {},
): void {
  const { kind = "claim", now = 0 } = options;
  const ids = { operationId, daemon: "a", requestId: operationId };
  const content = { ...ids, state: "claimed", bodyHash: "x" } as const;
  batcher.add({ kind, key: operationId, content, expectedVersion: 0 }, now);
}

function take(batcher: ClaimBatcher, now: number): ClaimBatch | undefined {
  return batcher.take(now, { wallClock: 0 });
}

function keysOf(batch: ClaimBatch | undefined): readonly string[] {
  return batch?.transaction.writes.map(({ key }) => key) ?? [];
}

test("a batch leaves when full, when due and when a slot is free", () => {
  const batcher = new ClaimBatcher({
    mostRows: 2,
    mostInFlight: 1,
    lingerMilliseconds: 2,
    deferMilliseconds: 50,
  });
  add(batcher, "done", { kind: "done" });
  expect(batcher.dueAt()).toEqual(50);
  add(batcher, "one", { now: 10 });
  // Two rows fill a batch; the claim goes first, the deferred row along.
  const first = take(batcher, 10);
  expect(keysOf(first)).toEqual(["one", "done"]);
  add(batcher, "two", { now: 11 });
  expect(batcher.dueAt()).toEqual(undefined);
  batcher.settle(first?.batchId ?? 0, { committed: true, versions: [1, 1] });
  expect(batcher.dueAt()).toEqual(13);
  expect(take(batcher, 12)).toEqual(undefined);
  expect(keysOf(take(batcher, 13))).toEqual(["two"]);
});

// Symptom: the store is asked the same again and again without a pause, or one
//   row that it cannot take holds up all others.
// Sequence: a conflict that blames no row of the batch; refused batches.
// Cause: rows requeued at once, and batches that keep their size.
test("failures shrink the batches and are told to every row", () => {
  const batcher = new ClaimBatcher({ mostRows: 4, mostInFlight: 1 });
  const foreign = [{ key: "no", row: null }];
  const blamesNoRow = { committed: false, conflicts: foreign } as const;
  const committed = { committed: true, versions: [1, 1] } as const;
  const rounds = [
    { outcome: "unavailable", told: "unavailable" },
    { outcome: "unknown", told: "unknown" },
    { outcome: blamesNoRow, told: "unavailable" },
    { outcome: committed, told: "committed" },
    { outcome: committed, told: "committed" },
  ] as const;
  const sizes = rounds.map(({ outcome, told }) => {
    for (let row = 0; row < 4; row++) add(batcher, `row${row}`);
    const batch = take(batcher, 100);
    const answers = batcher.settle(batch?.batchId ?? 0, outcome);
    const types = answers.map(({ answer }) => answer.type);
    expect(types).toEqual(keysOf(batch).map(() => told));
    return types.length;
  });
  expect(sizes).toEqual([4, 2, 1, 1, 2]);
});
