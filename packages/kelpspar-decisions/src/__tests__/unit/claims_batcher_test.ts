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
  return batcher.takeBatch(now, { wallClock: 0 });
}

function keysOf(batch: ClaimBatch | undefined): readonly string[] {
  return batch?.transaction.writes.map(({ key }) => key) ?? [];
}

test("a batch is sent when full, when due and when a transaction slot is free", () => {
  const batcher = new ClaimBatcher({
    maximumRows: 2,
    maximumInFlight: 1,
    lingerMilliseconds: 2,
    deferMilliseconds: 50,
  });
  add(batcher, "done", { kind: "done" });
  expect(batcher.dueAt()).toEqual(50);
  add(batcher, "one", { now: 10 });
  // Two rows fill the batch; the claim comes first and the deferred row joins
  // it.
  const first = take(batcher, 10);
  expect(keysOf(first)).toEqual(["one", "done"]);
  add(batcher, "two", { now: 11 });
  expect(batcher.dueAt()).toEqual(undefined);
  batcher.completeBatch(first?.batchId ?? 0, {
    committed: true,
    versions: [1, 1],
  });
  expect(batcher.dueAt()).toEqual(13);
  expect(take(batcher, 12)).toEqual(undefined);
  expect(keysOf(take(batcher, 13))).toEqual(["two"]);
});

// Guards against resending without a pause after a conflict that names no row
// of the batch, and against one row that the store cannot accept blocking all
// others because refused batches keep their size.
test("failures shrink the batches and are reported for every row", () => {
  const batcher = new ClaimBatcher({ maximumRows: 4, maximumInFlight: 1 });
  const foreign = [{ key: "no", row: null }];
  const namesNoRow = { committed: false, conflicts: foreign } as const;
  const committed = { committed: true, versions: [1, 1] } as const;
  const rounds = [
    { outcome: "unavailable", told: "unavailable" },
    { outcome: "unknown", told: "unknown" },
    { outcome: namesNoRow, told: "unavailable" },
    { outcome: committed, told: "committed" },
    { outcome: committed, told: "committed" },
  ] as const;
  const sizes = rounds.map(({ outcome, told }) => {
    for (let row = 0; row < 4; row++) add(batcher, `row${row}`);
    const batch = take(batcher, 100);
    const answers = batcher.completeBatch(batch?.batchId ?? 0, outcome);
    const types = answers.map(({ answer }) => answer.type);
    expect(types).toEqual(keysOf(batch).map(() => told));
    return types.length;
  });
  expect(sizes).toEqual([4, 2, 1, 1, 2]);
});
