import { expect } from "earl";
import { SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { SharedRateLimiter } from "../../routing/shared_rate_limiter.ts";

const SEEDS = Number(process.env["KELPSPAR_LIMIT_SEEDS"] ?? 40);
const STEP_MILLISECONDS = 10;
const PLAY_MILLISECONDS = 20_000;
/** The users' rule: most requests in a window of this length. */
const WINDOW_MILLISECONDS = 4_000;
const OVERSHOOT_FACTOR = 1.5;
const SLACK_REQUESTS = 5;
/** Share of the limit that daemons have for their own choices. */
const ROLE_SHARE = 0.4;
const ENDPOINT = "e";

/** A fleet whose daemons all want to send at every moment. */
interface Fleet {
  readonly daemons: number;
  readonly perSecond: number;
  /** How often each daemon is killed, milliseconds. */
  readonly lifeMilliseconds: number;
}

/** Returns the most requests that reach the endpoint in a window. */
function play(fleet: Fleet, seed: number): number {
  const random = new SeededRandom(seed);
  const lives = Array.from(
    { length: fleet.daemons },
    () => new SharedRateLimiter(random),
  );
  const sent: number[] = [];
  for (let now = 0; now < PLAY_MILLISECONDS; now += STEP_MILLISECONDS) {
    for (const [index, limiter] of lives.entries()) {
      const isKilled = random.next() < STEP_MILLISECONDS /
          fleet.lifeMilliseconds;
      if (isKilled) lives[index] = new SharedRateLimiter(random);
      const request = {
        perSecond: fleet.perSecond * ROLE_SHARE,
        senders: fleet.daemons,
        now,
      };
      if (limiter.delayFor(ENDPOINT, request) > 0) continue;
      limiter.recordSent(ENDPOINT, now);
      sent.push(now);
    }
  }
  return Math.max(
    0,
    ...sent.map((from) =>
      sent.filter((at) => at >= from && at < from + WINDOW_MILLISECONDS).length
    ),
  );
}

const FLEETS: readonly Fleet[] = [2, 12, 61].flatMap((daemons) =>
  [1, 10].flatMap((perSecond) =>
    [3_000, 20_000].map((lifeMilliseconds) => ({
      daemons,
      perSecond,
      lifeMilliseconds,
    }))
  )
);

// Guards against limits that each life of a daemon uses anew.
test("daemons that are killed stay within an endpoint's limit together", () => {
  for (const fleet of FLEETS) {
    const allowed = OVERSHOOT_FACTOR * fleet.perSecond *
        WINDOW_MILLISECONDS / 1_000 + SLACK_REQUESTS;
    for (let seed = 1; seed <= SEEDS / 4; seed++) {
      const most = play(fleet, seed);
      const result = { ...fleet, seed, most };
      expect(result).toEqual({ ...result, most: Math.min(most, allowed) });
    }
  }
});
