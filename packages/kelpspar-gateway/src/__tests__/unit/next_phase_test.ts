import type { StoppingState } from "../../lifecycle/next_phase.ts";
import { expect } from "earl";
import { test } from "node:test";
import { nextPhase } from "../../lifecycle/next_phase.ts";

const STATE: StoppingState = {
  phase: "leaving",
  now: 1_000,
  stopRequestedAt: 1_000,
  graceMilliseconds: 8_000,
  endsAt: 8_650,
  isBusy: true,
  replacedSince: 1_000,
  admittedAt: 1_000,
};

// Guards against closed connections while callers still hold old addresses.
test("a daemon listens for the first part of its grace period", () => {
  expect(nextPhase({ ...STATE, now: 4_500, isBusy: false })).toEqual("leaving");
  expect(nextPhase({ ...STATE, now: 4_600 })).toEqual("closing");
});

// Guards against a process that exits while answers are in progress.
test("a daemon ends when it has nothing left to do", () => {
  const closing = { ...STATE, phase: "closing", now: 5_000 } as const;
  expect(nextPhase(closing)).toEqual("closing");
  expect(nextPhase({ ...closing, isBusy: false })).toEqual("ending");
});

// Guards against a process that is killed with open requests.
test("a busy daemon ends before it would be killed", () => {
  for (const phase of ["leaving", "closing"] as const) {
    expect(nextPhase({ ...STATE, phase, now: 8_650 })).toEqual("ending");
  }
});

// Guards against callers that find nobody while a daemon could still serve them.
test("a daemon that nobody replaces listens while it accepts requests", () => {
  const alone = { ...STATE, replacedSince: undefined, now: 6_000 };
  expect(nextPhase(alone)).toEqual("leaving");
  const idle = { ...alone, isBusy: false };
  expect(nextPhase({ ...idle, admittedAt: 5_500 })).toEqual("leaving");
  expect(nextPhase({ ...idle, admittedAt: 4_900 })).toEqual("closing");
});

// Guards against callers that were told this address just before its successor
// was known.
test("a daemon listens for a while after another one replaces it", () => {
  const replaced = { ...STATE, replacedSince: 4_000, isBusy: false };
  expect(nextPhase({ ...replaced, now: 7_500 })).toEqual("leaving");
  expect(nextPhase({ ...replaced, now: 7_700 })).toEqual("closing");
});
