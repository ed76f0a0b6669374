import type { LimitedLoad } from "../support/play_limited_load.ts";
import { expect } from "earl";
import { test } from "node:test";
import {
  maximumInWindow,
  playLimitedLoad,
} from "../support/play_limited_load.ts";

const SEEDS = [1, 2, 3, 4, 5];
const PLAY_MILLISECONDS = 60_000;

/** Most requests that an endpoint may get in any four seconds. */
function maxAllowed(perSecond: number): number {
  return 1.5 * 4 * perSecond + 5;
}

function load(options: Partial<LimitedLoad>): LimitedLoad {
  return {
    daemons: 6,
    endpoints: 3,
    limitAt: () => 1,
    perSecondAt: () => 50,
    milliseconds: PLAY_MILLISECONDS,
    seed: 1,
    ...options,
  };
}

function playSeeds(
  options: Partial<LimitedLoad>,
): readonly ReturnType<typeof playLimitedLoad>[] {
  return SEEDS.flatMap((seed) =>
    [true, false].map((isModel) =>
      playLimitedLoad(load({ ...options, seed, isModel }))
    )
  );
}

// Guards against daemons that together exceed an endpoint's limit.
for (const daemons of [1, 2, 6, 8, 85, 340]) {
  for (const limit of [0.5, 1, 3, 12]) {
    test(`${daemons} daemons together stay within a limit of ${limit} per second`, () => {
      const plays = playSeeds({
        daemons,
        limitAt: () => limit,
        milliseconds: 20_000,
      });
      for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
        expect(maximumInWindow(sent)).toBeLessThanOrEqual(maxAllowed(limit));
      }
    });
  }
}

// Guards against limits that leave endpoints idle while requests are refused.
test("more than half of the endpoints' capacity is used", () => {
  for (const daemons of [1, 6, 85]) {
    for (const limit of [1, 12]) {
      const plays = playSeeds({ daemons, limitAt: () => limit });
      const sent = plays.flatMap(({ sentAt }) => sentAt.flat()).length;
      const capacity = plays.length * 3 * limit * PLAY_MILLISECONDS / 1_000;
      expect(sent / capacity > 0.5 && sent / capacity <= 1).toEqual(true);
    }
  }
});

// Guards against all daemons using accumulated shares at the same moment.
test("daemons that all start using an endpoint at once stay within its limit", () => {
  const plays = playSeeds({
    daemons: 85,
    endpoints: 1,
    perSecondAt: (now) => now < 40_000 ? 0 : 2_000,
  });
  for (const { sentAt: [sent = []] } of plays) {
    expect(sent.length).toBeGreaterThan(0);
    expect(maximumInWindow(sent)).toBeLessThanOrEqual(maxAllowed(1));
  }
});

// Guards against two coordinators that each use an endpoint's whole limit.
test("two simultaneous coordinators stay within the limits", () => {
  for (const limit of [0.5, 1, 12]) {
    const plays = playSeeds({
      daemons: 8,
      coordinators: 2,
      limitAt: () => limit,
    });
    for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
      expect(maximumInWindow(sent)).toBeLessThanOrEqual(maxAllowed(limit));
    }
  }
});

// Guards against daemons that get a fresh share each time they start.
test("daemons that restart one after another stay within the limits", () => {
  for (const daemons of [6, 85]) {
    const plays = playSeeds({ daemons, restartEveryMilliseconds: 500 });
    for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
      expect(maximumInWindow(sent)).toBeLessThanOrEqual(maxAllowed(1));
    }
  }
});

// Guards against a membership view that lacks some daemons.
test("daemons that know two thirds of the others stay within the limits", () => {
  const plays = playSeeds({ daemons: 85, visibleDaemons: 57 });
  for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
    expect(maximumInWindow(sent)).toBeLessThanOrEqual(maxAllowed(1));
  }
});

// Guards against shares of a higher limit that remain after it falls.
test("a lowered limit applies from then on", () => {
  const limitAt = (now: number): number =>
    now < 20_000 ? 12 : now < 40_000 ? 4 : 0.5;
  for (const daemons of [2, 6, 85]) {
    const plays = playSeeds({ daemons, limitAt });
    for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
      const until = (at: number): readonly number[] =>
        sent.filter((one) => one < at);
      expect(maximumInWindow(until(20_000))).toBeLessThanOrEqual(
        maxAllowed(12),
      );
      expect(maximumInWindow(until(40_000), 20_000))
        .toBeLessThanOrEqual(maxAllowed(4));
      expect(maximumInWindow(sent, 40_000)).toBeLessThanOrEqual(
        maxAllowed(0.5),
      );
    }
  }
});

// Guards against an endpoint that gets no requests and so can't raise its limit.
test("an endpoint with a limit of zero still gets occasional requests", () => {
  for (const { sentAt } of playSeeds({ limitAt: () => 0 })) {
    for (const sent of sentAt) {
      expect(sent.length).toBeGreaterThan(0);
      expect(maximumInWindow(sent)).toBeLessThanOrEqual(maxAllowed(0));
    }
  }
});
