import type { RateLimitRequest } from "../../routing/shared_rate_limiter.ts";
import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { SharedRateLimiter } from "../../routing/shared_rate_limiter.ts";

const PER_SECOND = 6;
/** Tolerance that the requirements allow above the endpoint's rate limit. */
const OVERSHOOT = 1.5;
const SLACK = 5;
const MAXIMUM_PER_SECOND = PER_SECOND * OVERSHOOT + SLACK;
const COLD_MILLISECONDS = 3_000;
const STEP_MILLISECONDS = 10;

function maySend(
  limiter: SharedRateLimiter,
  endpointId: string,
  request: RateLimitRequest,
): boolean {
  return limiter.delayFor(endpointId, request) === 0;
}

interface FloodOptions {
  readonly senders: number;
  /** Number of senders that each sender assumes. */
  readonly assumedSenders: number;
  readonly seed: number;
}

/** Times of requests to a cold endpoint while all senders have a backlog. */
function simulateFlood(
  { senders, assumedSenders, seed }: FloodOptions,
): readonly number[] {
  const random = new SeededRandom(seed);
  const limiters = Array.from(
    { length: senders },
    () => new SharedRateLimiter(random),
  );
  const sentAt: number[] = [];
  for (let now = 0; now < COLD_MILLISECONDS; now += STEP_MILLISECONDS) {
    for (const limiter of limiters) {
      const request = { perSecond: PER_SECOND, senders: assumedSenders, now };
      if (!maySend(limiter, "i1", request)) continue;
      limiter.recordSent("i1", now);
      sentAt.push(now);
    }
  }
  return sentAt;
}

function maximumPerSecond(sentAt: readonly number[]): number {
  return Math.max(
    0,
    ...sentAt.map((from) =>
      sentAt.filter((at) => at >= from && at < from + 1_000).length
    ),
  );
}

// Guards against overloading a cold endpoint by senders without coordination.
for (const senders of [1, 2, 8, 85, 340]) {
  test(`${senders} senders together respect a cold endpoint's rate limit`, () => {
    for (let seed = 1; seed <= 20; seed++) {
      const sentAt = simulateFlood({ senders, assumedSenders: senders, seed });
      expect(maximumPerSecond(sentAt) <= MAXIMUM_PER_SECOND).toEqual(true);
    }
  });
}

// Guards against cold endpoints that get no requests and stay idle.
test("a cold endpoint gets more than half of its rate limit", () => {
  for (const senders of [1, 8, 85]) {
    let sent = 0;
    const runs = 20;
    for (let seed = 1; seed <= runs; seed++) {
      sent += simulateFlood({ senders, assumedSenders: senders, seed }).length;
    }
    const allowed = runs * PER_SECOND * COLD_MILLISECONDS / 1_000;
    expect(sent / allowed > 0.5 && sent / allowed <= 1).toEqual(true);
  }
});

// Guards against an incomplete membership view.
test("senders that miss a fifth of the others respect the limit", () => {
  for (let seed = 1; seed <= 20; seed++) {
    const sentAt = simulateFlood({ senders: 85, assumedSenders: 68, seed });
    expect(maximumPerSecond(sentAt) <= MAXIMUM_PER_SECOND).toEqual(true);
  }
});

// Guards against a second cold start that continues with the first one's rate.
test("the pacer of an endpoint that was unused for long is reset", () => {
  const limiter = new SharedRateLimiter(new SeededRandom(1));
  const request = { perSecond: 1, senders: 1_000 };
  limiter.recordSent("i1", 0);
  expect(maySend(limiter, "i1", { ...request, now: 900_000 })).toEqual(false);
  expect(maySend(limiter, "i1", { ...request, now: 901_000 })).toEqual(false);
  expect(maySend(limiter, "i2", { ...request, senders: 1, now: 0 }))
    .toEqual(false);
  expect(maySend(limiter, "i2", { ...request, senders: 1, now: 1_000 }))
    .toEqual(true);
});
