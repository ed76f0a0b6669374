import type { LimitedLoad } from "../support/play_limited_load.ts";
import { expect } from "earl";
import { test } from "node:test";
import { mostInSpan, playLimitedLoad } from "../support/play_limited_load.ts";

const SEEDS = [1, 2, 3, 4, 5];
const PLAY_MILLISECONDS = 60_000;

/** What an endpoint may get in any four seconds. */
function mostAllowed(perSecond: number): number {
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

// Guards against daemons that add up to more than an endpoint takes.
for (const daemons of [1, 2, 6, 8, 85, 340]) {
  for (const limit of [0.5, 1, 3, 12]) {
    test(`${daemons} daemons keep together to a limit of ${limit} a second`, () => {
      const plays = playSeeds({
        daemons,
        limitAt: () => limit,
        milliseconds: 20_000,
      });
      for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
        expect(mostInSpan(sent)).toBeLessThanOrEqual(mostAllowed(limit));
      }
    });
  }
}

// Guards against limits that leave endpoints idle while requests are refused.
test("more than half of what endpoints take is used", () => {
  for (const daemons of [1, 6, 85]) {
    for (const limit of [1, 12]) {
      const plays = playSeeds({ daemons, limitAt: () => limit });
      const sent = plays.flatMap(({ sentAt }) => sentAt.flat()).length;
      const taken = plays.length * 3 * limit * PLAY_MILLISECONDS / 1_000;
      expect(sent / taken > 0.5 && sent / taken <= 1).toEqual(true);
    }
  }
});

// Guards against shares that are kept by all and used in the same moment.
test("daemons that all turn to an endpoint at once keep to its limit", () => {
  const plays = playSeeds({
    daemons: 85,
    endpoints: 1,
    perSecondAt: (now) => now < 40_000 ? 0 : 2_000,
  });
  for (const { sentAt: [sent = []] } of plays) {
    expect(sent.length).toBeGreaterThan(0);
    expect(mostInSpan(sent)).toBeLessThanOrEqual(mostAllowed(1));
  }
});

// Guards against two daemons that both give out what an endpoint takes.
test("two coordinators at once keep to the limits", () => {
  for (const limit of [0.5, 1, 12]) {
    const plays = playSeeds({
      daemons: 8,
      coordinators: 2,
      limitAt: () => limit,
    });
    for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
      expect(mostInSpan(sent)).toBeLessThanOrEqual(mostAllowed(limit));
    }
  }
});

// Guards against daemons that begin anew with a share each time they start.
test("daemons that start one after the other keep to the limits", () => {
  for (const daemons of [6, 85]) {
    const plays = playSeeds({ daemons, restartEveryMilliseconds: 500 });
    for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
      expect(mostInSpan(sent)).toBeLessThanOrEqual(mostAllowed(1));
    }
  }
});

// Guards against a view of the fleet that lacks some of its daemons.
test("daemons that know of two thirds of the others keep to the limits", () => {
  const plays = playSeeds({ daemons: 85, believedDaemons: 57 });
  for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
    expect(mostInSpan(sent)).toBeLessThanOrEqual(mostAllowed(1));
  }
});

// Guards against shares of a higher limit that outlive it.
test("a limit that falls holds from then on", () => {
  const limitAt = (now: number): number =>
    now < 20_000 ? 12 : now < 40_000 ? 4 : 0.5;
  for (const daemons of [2, 6, 85]) {
    const plays = playSeeds({ daemons, limitAt });
    for (const sent of plays.flatMap(({ sentAt }) => sentAt)) {
      const until = (at: number): readonly number[] =>
        sent.filter((one) => one < at);
      expect(mostInSpan(until(20_000))).toBeLessThanOrEqual(mostAllowed(12));
      expect(mostInSpan(until(40_000), 20_000))
        .toBeLessThanOrEqual(mostAllowed(4));
      expect(mostInSpan(sent, 40_000)).toBeLessThanOrEqual(mostAllowed(0.5));
    }
  }
});

// Guards against an endpoint that is never asked again and so never freed.
test("an endpoint that takes nothing is asked now and then all the same", () => {
  for (const { sentAt } of playSeeds({ limitAt: () => 0 })) {
    for (const sent of sentAt) {
      expect(sent.length).toBeGreaterThan(0);
      expect(mostInSpan(sent)).toBeLessThanOrEqual(mostAllowed(0));
    }
  }
});
