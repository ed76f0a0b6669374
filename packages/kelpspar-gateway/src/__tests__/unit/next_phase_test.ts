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
