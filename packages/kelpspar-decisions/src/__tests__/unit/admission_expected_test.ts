import { expect } from "earl";
import { test } from "node:test";
import { ExpectedCalls } from "../../admission/mod.ts";

const OPTIONS = {
  serviceId: "engine",
  accountId: "small",
  concurrency: 10,
  freeSlots: 0,
  part: 0.1,
  isContended: true,
};

function expectMany(calls: ExpectedCalls, accountId: string): () => void {
  const removals = Array.from(
    { length: 10 },
    () => calls.add({ serviceId: "engine", accountId, cost: 100 }),
  );
  return () => removals.forEach((remove) => remove());
}

test("expected calls of an account add a wait at its own share", () => {
  const calls = new ExpectedCalls();
  expectMany(calls, "small");
  expect(calls.estimateWait(OPTIONS)).toEqual(1_000);
  expect(calls.estimateWait({ ...OPTIONS, accountId: "other" })).toEqual(0);
});

test("with empty queues, all expected calls together limit the wait", () => {
  // Guards against refusing calls of small accounts at 80% of capacity: ten
  // calls of a small account are expected, none is queued, and their wait was
  // estimated at the small share alone.
  const calls = new ExpectedCalls();
  expectMany(calls, "small");
  expectMany(calls, "large");
  const idle = { ...OPTIONS, isContended: false };
  expect(calls.estimateWait(idle)).toEqual(200);
});

test("a call counts until its removal, which is idempotent, and free slots absorb calls", () => {
  const calls = new ExpectedCalls();
  const remove = expectMany(calls, "small");
  expect(calls.estimateWait({ ...OPTIONS, freeSlots: 5 })).toEqual(500);
  expect(calls.estimateWait({ ...OPTIONS, freeSlots: 10 })).toEqual(0);
  remove();
  remove();
  expect(calls.countCalls("engine")).toEqual(0);
  expect([...calls.listAccounts("engine")]).toEqual([]);
});
