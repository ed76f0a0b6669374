import type { PaceRequest } from "../../routing/shared_pace.ts";
import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { SharedPace } from "../../routing/shared_pace.ts";

const PER_SECOND = 6;
/** What the rules allow in any second beside what the endpoint bears. */
const OVERSHOOT = 1.5;
const SLACK = 5;
const MOST_IN_A_SECOND = PER_SECOND * OVERSHOOT + SLACK;
const COLD_MILLISECONDS = 3_000;
const STEP_MILLISECONDS = 10;

function maySend(
  pace: SharedPace,
  endpointId: string,
  request: PaceRequest,
): boolean {
  return pace.waitFor(endpointId, request) === 0;
}

interface Play {
  readonly senders: number;
  /** What each sender takes the number of senders for. */
  readonly believed: number;
  readonly seed: number;
}

/** When a cold endpoint gets requests that all senders have without end. */
function playFlood({ senders, believed, seed }: Play): readonly number[] {
  const random = new SeededRandom(seed);
  const paces = Array.from({ length: senders }, () => new SharedPace(random));
  const sentAt: number[] = [];
  for (let now = 0; now < COLD_MILLISECONDS; now += STEP_MILLISECONDS) {
    for (const pace of paces) {
      const request = { perSecond: PER_SECOND, sharers: believed, now };
      if (!maySend(pace, "i1", request)) continue;
      pace.sent("i1", now);
      sentAt.push(now);
    }
  }
  return sentAt;
}

function mostInASecond(sentAt: readonly number[]): number {
  return Math.max(
    0,
    ...sentAt.map((from) =>
      sentAt.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

// Guards against a flood of a cold endpoint by daemons that know of no other's.
for (const senders of [1, 2, 8, 85, 340]) {
  test(`${senders} senders keep together to what a cold endpoint bears`, () => {
    for (let seed = 1; seed <= 20; seed++) {
      const sentAt = playFlood({ senders, believed: senders, seed });
      expect(mostInASecond(sentAt) <= MOST_IN_A_SECOND).toEqual(true);
    }
  });
}

// Guards against cold endpoints that get nothing and stay idle.
test("a cold endpoint gets more than half of what it bears", () => {
  for (const senders of [1, 8, 85]) {
    let sent = 0;
    const plays = 20;
    for (let seed = 1; seed <= plays; seed++) {
      sent += playFlood({ senders, believed: senders, seed }).length;
    }
    const borne = plays * PER_SECOND * COLD_MILLISECONDS / 1_000;
    expect(sent / borne > 0.5 && sent / borne <= 1).toEqual(true);
  }
});

// Guards against a view of the fleet that lacks some of its daemons.
test("senders that miss a fifth of the others keep to the bound", () => {
  for (let seed = 1; seed <= 20; seed++) {
    const sentAt = playFlood({ senders: 85, believed: 68, seed });
    expect(mostInASecond(sentAt) <= MOST_IN_A_SECOND).toEqual(true);
  }
});

// Guards against a second cold time that goes on with the share of the first.
test("an endpoint that wasn't asked for long is paced anew", () => {
  const pace = new SharedPace(new SeededRandom(1));
  const request = { perSecond: 1, sharers: 1_000 };
  pace.sent("i1", 0);
  expect(maySend(pace, "i1", { ...request, now: 900_000 })).toEqual(false);
  expect(maySend(pace, "i1", { ...request, now: 901_000 })).toEqual(false);
  expect(maySend(pace, "i2", { ...request, sharers: 1, now: 0 }))
    .toEqual(false);
  expect(maySend(pace, "i2", { ...request, sharers: 1, now: 1_000 }))
    .toEqual(true);
});
