import type { ReplayOptions } from "../support/replay_fleet_retries.ts";
import { expect } from "earl";
import { test } from "node:test";
import { replayFleetRetries } from "../support/replay_fleet_retries.ts";

/** Set to replay more interleavings by hand. */
const SEEDS = Number(process.env["KELPSPAR_RETRY_SEEDS"] ?? 12);
/** Daemons, slack and requests a second of fleets that exist or are planned. */
const FLEETS = [
  { daemons: 2, slack: 60, perSecond: 50 },
  { daemons: 12, slack: 60, perSecond: 50 },
  { daemons: 61, slack: 162, perSecond: 90 },
  { daemons: 195, slack: 430, perSecond: 300 },
  { daemons: 340, slack: 750, perSecond: 1_300 },
] as const;
/** Share of the allowed retries that must be used when nothing else fails. */
const MINIMUM_USED_SHARE = 0.84;

function replay(options: Partial<ReplayOptions>): ReturnType<
  typeof replayFleetRetries
> {
  return replayFleetRetries({
    seed: 1,
    ...FLEETS[1],
    seconds: 40,
    share: 0.7,
    ...options,
  });
}

for (const fleet of FLEETS) {
  // Guards against lives, views and windows in which retries exceed the budget.
  test(`retries of ${fleet.daemons} daemons with drawn faults stay within the budget`, async () => {
    const scale = fleet.daemons > 100 ? 4 : 1;
    for (let seed = 1; seed <= SEEDS / scale; seed++) {
      const faultsPerSecond = [0.3, 1, 3][seed % 3] ?? 1;
      const { worst } = await replay({ ...fleet, seed, faultsPerSecond });
      const result = { seed, ...worst };
      expect(result).toEqual({ ...result, isExceeded: false });
    }
  });
}

// Guards against new daemons whose predecessors' slack is already spent.
test("retries stay within the budget while the fleet grows", async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { worst } = await replay({ seed, first: 2 });
    expect(worst.isExceeded).toEqual(false);
  }
});

// Guards against a budget that is paid for with answers.
test("failing endpoints get most of the retries that are allowed", async () => {
  const { worst } = await replay({});
  expect(worst.isExceeded).toEqual(false);
  expect(worst.repeats).toBeGreaterThanOrEqual(
    MINIMUM_USED_SHARE * worst.allowed,
  );
});

// Guards against slack that idle daemons keep from those that need it.
test("a few daemons with all requests get most of the slack", async () => {
  const { worst } = await replay({ loaded: 2 });
  expect(worst.isExceeded).toEqual(false);
  expect(worst.repeats).toBeGreaterThanOrEqual(
    MINIMUM_USED_SHARE * worst.allowed,
  );
});

// Guards against calls to the store on days on which nothing fails.
test("a fleet without failures calls the store for no retry", async () => {
  const { storeCalls, repeats } = await replay({ share: 0 });
  expect(repeats).toEqual(0);
  // The replay itself writes the ledger once, with a read and a write.
  expect(storeCalls).toEqual(2);
});
