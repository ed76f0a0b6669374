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
  const takeBacks = Array.from(
    { length: 10 },
    () => calls.add({ serviceId: "engine", accountId, cost: 100 }),
  );
  return () => takeBacks.forEach((takeBack) => takeBack());
}

test("expected calls of an account add a wait at its own part", () => {
  const calls = new ExpectedCalls();
  expectMany(calls, "small");
  expect(calls.waitOf(OPTIONS)).toEqual(1_000);
  expect(calls.waitOf({ ...OPTIONS, accountId: "other" })).toEqual(0);
});

test("while nothing waits, all expected calls together bound the wait", () => {
  // Symptom: calls of small accounts are refused at four fifths of capacity.
  // Sequence: ten calls of a small account are under way, none waits.
  // Cause: their wait was worked out at the small share alone.
  const calls = new ExpectedCalls();
  expectMany(calls, "small");
  expectMany(calls, "large");
  const idle = { ...OPTIONS, isContended: false };
  expect(calls.waitOf(idle)).toEqual(200);
});

test("a call counts until it is taken back, once, and free slots take some", () => {
  const calls = new ExpectedCalls();
  const takeBack = expectMany(calls, "small");
  expect(calls.waitOf({ ...OPTIONS, freeSlots: 5 })).toEqual(500);
  expect(calls.waitOf({ ...OPTIONS, freeSlots: 10 })).toEqual(0);
  takeBack();
  takeBack();
  expect(calls.callsOf("engine")).toEqual(0);
  expect([...calls.accountsOf("engine")]).toEqual([]);
});
