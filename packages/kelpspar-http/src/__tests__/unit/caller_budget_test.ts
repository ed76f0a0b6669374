import type {
  CallerCut,
  CallerHolding,
  CutReason,
  HoldingState,
} from "../../mod.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { beforeEach, test } from "node:test";
import { CallerBudget, MAXIMUM_SMALL_BYTES, shareMemory } from "../../mod.ts";

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * 1024;
const MAXIMUM_BYTES = 8 * MEBIBYTE;
/** What large bodies and answers may take. */
const LARGE_BYTES = 7 * MEBIBYTE;

let timer: ManualTimer;
let budget: CallerBudget;
let counted: CallerCut[] = [];
/** Names of the holdings that were cut, in this order. */
let cuts: string[] = [];

beforeEach(() => {
  counted = [];
  cuts = [];
  timer = new ManualTimer();
  budget = new CallerBudget({
    timer,
    maximumBytes: MAXIMUM_BYTES,
    onCut: (cut) => counted.push(cut),
  });
});

function hold(
  name: string,
  bytes: number,
  { address = "a", state = "arriving" }: {
    readonly address?: string;
    readonly state?: HoldingState;
  } = {},
): CallerHolding {
  const cut = (reason: CutReason): void => void cuts.push(`${name} ${reason}`);
  const holding = budget.open({ state, address, cut });
  holding.set(bytes);
  return holding;
}

// Guards against an address that takes what all others need.
test("of the address that holds most the largest is cut", () => {
  hold("light", 3 * MEBIBYTE, { address: "b" });
  hold("smaller", 1.5 * MEBIBYTE);
  hold("largest", 2 * MEBIBYTE);
  hold("last", MEBIBYTE, { address: "c" });
  expect(cuts).toEqual(["largest no_memory"]);
  expect(budget.bytes).toEqual(5.5 * MEBIBYTE);
});

// Guards against bodies that are left open and stay while moving ones are cut.
test("what has stalled longest is cut first, bodies before answers", async () => {
  hold("answer", MEBIBYTE, { state: "unread" });
  await timer.advance(500);
  hold("first", MEBIBYTE);
  await timer.advance(500);
  hold("second", 1.5 * MEBIBYTE);
  await timer.advance(1_500);
  const moving = hold("moving", 3 * MEBIBYTE);
  moving.set(4 * MEBIBYTE);
  moving.set(5.5 * MEBIBYTE);
  expect(cuts).toEqual(["first no_memory", "second no_memory"]);
  moving.set(6.5 * MEBIBYTE);
  expect(cuts[2]).toEqual("answer no_memory");
});

// Guards against a request that runs at an endpoint and is given up here.
test("what was passed on is never cut, and nothing large fits beside it", () => {
  const kept = hold("kept", 6.5 * MEBIBYTE);
  kept.keep();
  expect(budget.admit(MEBIBYTE)).toEqual(false);
  hold("new", MEBIBYTE, { address: "b" });
  expect(cuts).toEqual(["new no_memory"]);
  expect(counted).toEqual([
    { state: "arriving", reason: "no_memory" },
    { state: "arriving", reason: "no_memory" },
  ]);
});

// Guards against ordinary callers that aren't served while large bodies fill
// the rest.
test("small bodies fit while large ones fill the rest", () => {
  hold("kept", LARGE_BYTES).keep();
  for (let count = 0; count < 16; count++) {
    expect(budget.admit(MAXIMUM_SMALL_BYTES)).toEqual(true);
    hold("small", MAXIMUM_SMALL_BYTES);
  }
  expect(cuts).toEqual([]);
  hold("one more", 1);
  expect(cuts).toEqual(["small no_memory"]);
});

// Guards against bodies whose buffers are released but not collected, which
// together take more memory than the budget.
test("a large buffer counts until it is probably collected", async () => {
  const kept = hold("kept", 6 * MEBIBYTE);
  kept.keep();
  kept.end();
  expect(budget.admit(2 * MEBIBYTE)).toEqual(false);
  expect(budget.admit(MAXIMUM_SMALL_BYTES)).toEqual(true);
  hold("answer", 2 * MEBIBYTE, { state: "unread" }).end();
  hold("body", 2 * MEBIBYTE);
  expect(cuts).toEqual(["body no_memory"]);
  await timer.advance(1_000);
  expect(budget.admit(2 * MEBIBYTE)).toEqual(true);
});

// Guards against bodies that come a few bytes at a time and never end, and
// against a bound by the clock alone, which ends those of slow networks.
test("a body that brings too little in ten seconds is cut", async () => {
  const dripping = hold("dripping", KIBIBYTE);
  const slow = hold("slow", KIBIBYTE);
  hold("whole", KIBIBYTE).keep();
  for (let second = 0; second < 60; second++) {
    dripping.progress(1);
    slow.progress(8 * KIBIBYTE);
    await timer.advance(1_000);
    const isCut = cuts.includes("dripping too_slow");
    if (second < 8) expect(isCut).toEqual(false);
    if (second > 10) expect(isCut).toEqual(true);
  }
  expect(cuts).toEqual(["dripping too_slow"]);
  await timer.advance(11_000);
  expect(cuts).toEqual(["dripping too_slow", "slow too_slow"]);
});

// Guards against answers that nobody reads, which stay as long as they like, and
// against one that ends because the buffers of its connection are large.
test("an answer of which too little is read in 30 seconds is cut", async () => {
  hold("unread", KIBIBYTE, { state: "unread" });
  const read = hold("read", KIBIBYTE, { state: "unread" });
  await timer.advance(25_000);
  expect(cuts).toEqual([]);
  read.progress(240 * KIBIBYTE);
  await timer.advance(6_000);
  expect(cuts).toEqual(["unread too_slow"]);
});

// Guards against a timer for each body, and one that keeps a process alive.
test("all bodies share a timer that ends after the last of them", async () => {
  let timers = 0;
  const counting = new CallerBudget({
    timer: {
      now: () => timer.now(),
      registerInterval: (listener, milliseconds) => {
        const stop = timer.registerInterval(listener, milliseconds);
        timers++;
        return () => {
          timers--;
          stop();
        };
      },
    },
  });
  const holdings = [1, 2, 3].map(() => counting.open({ state: "arriving" }));
  expect(timers).toEqual(1);
  for (const holding of holdings) holding.end();
  await timer.advance(1_000);
  expect(timers).toEqual(0);
});

// Guards against a process that takes more memory than its machine has.
test("what is shared out fits beside a process at rest", () => {
  for (const megabytes of [210, 350, 602]) {
    const { callerBytes, answerBytes } = shareMemory(megabytes * MEBIBYTE);
    expect(callerBytes + answerBytes)
      .toBeLessThanOrEqual((megabytes - 160) * MEBIBYTE);
  }
  expect(shareMemory(350 * MEBIBYTE).answerBytes).toEqual(64 * MEBIBYTE);
  expect(shareMemory(210 * MEBIBYTE).answerBytes).toEqual(17 * MEBIBYTE);
});
