import type { RetryGate } from "../../retries/retry_gate.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { createRetryGate } from "../support/create_retry_gate.ts";
import { MemoryRowStore } from "../support/memory_row_store.ts";

const START_MILLISECONDS = 100_000;

function createTimer(): ManualTimer {
  return new ManualTimer({ startAt: START_MILLISECONDS });
}

/** Far more than any slack. */
const MAXIMUM_SPENT = 1_000;

/** Spends until the gate refuses; returns how many were allowed. */
async function spendAll(
  gate: ReturnType<typeof createRetryGate>,
): Promise<number> {
  for (let spent = 0;; spent++) {
    if (spent > MAXIMUM_SPENT) throw new Error("The gate never refuses");
    const outcome = await gate.spend({
      service: "s",
      cause: "failed",
      priority: 0,
      deadlineAt: Number.POSITIVE_INFINITY,
    });
    if (outcome === "refused") return spent;
  }
}

// Guards against daemons that each spend the whole slack.
test("six daemons together stay within the fleet's slack", async () => {
  const timer = createTimer();
  const store = new MemoryRowStore(timer);
  let spent = 0;
  for (let daemon = 0; daemon < 6; daemon++) {
    spent += await spendAll(createRetryGate(timer, { store, daemons: 6 }));
  }
  expect(spent).toBeLessThanOrEqual(50);
  expect(spent).toBeGreaterThanOrEqual(24);
});

/** Counts the retries that 100 requests earn beside a slack that is spent. */
async function countEarned(
  recordRequest: (gate: RetryGate) => void,
): Promise<number> {
  const timer = createTimer();
  const store = new MemoryRowStore(timer);
  const gate = createRetryGate(timer, { store, daemons: 6 });
  await spendAll(gate);
  let spent = 0;
  for (let count = 0; count < 100; count++) {
    recordRequest(gate);
    spent += await spendAll(gate);
  }
  return spent;
}

// Guards against retries of services that get requests and never fail at once.
test("each request earns its share of a retry", async () => {
  expect(await countEarned((gate) => gate.recordRequest("s"))).toEqual(20);
});

// Guards against a budget that grows with the number of pieces of a request.
test("a request earns the same however many pieces it has", async () => {
  const earned = await countEarned((gate) =>
    gate.recordPieces("s", { requests: 1, pieces: 16 })
  );
  expect(earned).toEqual(20);
});

// Guards against retries that expire before their window has passed.
test("lent retries are available again only after the window", async () => {
  const timer = createTimer();
  const gate = createRetryGate(timer);
  const spent = await spendAll(gate);
  timer.jump(9_900);
  expect(await spendAll(gate)).toEqual(0);
  timer.jump(2_000);
  expect(await spendAll(gate)).toEqual(spent);
});

// Guards against processes that spend the slack of their predecessors again.
test("a daemon that starts finds the slack that was spent before", async () => {
  const timer = createTimer();
  const store = new MemoryRowStore(timer);
  await spendAll(createRetryGate(timer, { store }));
  expect(await spendAll(createRetryGate(timer, { store }))).toEqual(0);
});

// Guards against loans that a restored store has forgotten.
test("nothing is lent for a window after the store was restored", async () => {
  const timer = createTimer();
  const store = new MemoryRowStore(timer);
  await spendAll(createRetryGate(timer, { store, slack: 20 }));
  const backup = store.backup();
  timer.jump(12_000);
  const spent = await spendAll(createRetryGate(timer, { store }));
  expect(spent).toBeGreaterThan(0);
  store.restore(backup);
  const young = createRetryGate(timer, { store });
  expect(await spendAll(young)).toEqual(0);
  timer.jump(12_000);
  expect(await spendAll(young)).toBeGreaterThan(0);
});

/** Rows of the ledger that another writer left, as they change a valid one. */
const ODD_LEDGERS: Readonly<Record<string, string>> = {
  "that isn't JSON": "{",
  "with an amount below zero":
    '{"era":1,"daemons":1,"daemonsUntil":1,"loans":[{"amount":-1e6,"endsAt":1e12}]}',
  "with a loan that never ends":
    '{"era":1,"daemons":1,"daemonsUntil":1,"loans":[{"amount":1e308,"endsAt":1e308}]}',
  "of a fleet without end":
    '{"era":1,"daemons":1e308,"daemonsUntil":1e308,"loans":[]}',
};

// Guards against an odd row that lends more than the slack, or nothing for good.
for (const [name, text] of Object.entries(ODD_LEDGERS)) {
  test(`nothing is lent for a window after a ledger ${name}`, async () => {
    const timer = createTimer();
    const store = new MemoryRowStore(timer);
    const fresh = await spendAll(createRetryGate(timer, { store }));
    timer.jump(12_000);
    const { version } = await store.readRow("retries", "s");
    await store.writeRow("retries", "s", { text, version });
    const gate = createRetryGate(timer, { store });
    expect(await spendAll(gate)).toEqual(0);
    timer.jump(12_000);
    expect(await spendAll(gate)).toEqual(fresh);
  });
}

// Guards against requests that wait for a store that is away.
test("retries without a store are limited to what requests earn", async () => {
  const timer = createTimer();
  const store = new MemoryRowStore(timer);
  store.isAway = true;
  const gate = createRetryGate(timer, { store });
  for (let count = 0; count < 5; count++) gate.recordRequest("s");
  timer.jump(100);
  expect(await spendAll(gate)).toEqual(1);
  const { calls } = store;
  expect(await spendAll(gate)).toEqual(0);
  expect(store.calls).toEqual(calls);
  expect(gate.retryAfterMilliseconds("s")).toBeGreaterThan(0);
});

// Guards against credits for requests that waited while the process was paused.
test("requests read after a pause earn nothing", () => {
  const timer = createTimer();
  const gate = createRetryGate(timer);
  gate.handlePause();
  for (let count = 0; count < 50; count++) gate.recordRequest("s");
  expect(gate.available("s")).toEqual(0);
  timer.jump(1_000);
  for (let count = 0; count < 5; count++) gate.recordRequest("s");
  expect(gate.available("s")).toEqual(1);
});

// Guards against retries that are lost although nothing was sent.
test("retries that are given back are spent once more", async () => {
  const timer = createTimer();
  const gate = createRetryGate(timer);
  await gate.borrow("s", 10);
  for (let count = 0; count < 5; count++) gate.recordRequest("s");
  const count = gate.available("s");
  const spent = gate.trySpend("s", "failed", count);
  expect(gate.available("s")).toEqual(0);
  if (spent !== undefined) gate.giveBack(spent);
  expect(gate.available("s")).toEqual(count);
  expect(gate.trySpend("s", "failed", count)).not.toEqual(undefined);
});

// Guards against loans that are spent after their end.
test("a loan that is given back after its end isn't available", async () => {
  const timer = createTimer();
  const gate = createRetryGate(timer);
  await gate.borrow("s", 1);
  const spent = gate.trySpend("s", "failed");
  timer.jump(1_000);
  if (spent !== undefined) gate.giveBack(spent);
  expect(gate.available("s")).toEqual(0);
});
