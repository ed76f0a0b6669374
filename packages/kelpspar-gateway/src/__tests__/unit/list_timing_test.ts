import { expect } from "earl";
import { test } from "node:test";
import {
  computeApplyMilliseconds,
  computeListTiming,
} from "../../endpoints/list_timing.ts";
import { relayTimes } from "../../tables/relay_times.ts";

test("all waits for the list together end before the bounds are enforced again", () => {
  for (const drainMilliseconds of [1_000, 1_500, 2_000, 3_000]) {
    for (const contactMilliseconds of [3_000, 4_000]) {
      const {
        pollIntervalMilliseconds,
        waitMilliseconds,
        callTimeoutMilliseconds,
      } = computeListTiming({
        drainMilliseconds,
        contactMilliseconds,
        sendMilliseconds: 250,
        backoffMilliseconds: 225,
      });
      const sum = pollIntervalMilliseconds + waitMilliseconds +
        callTimeoutMilliseconds +
        225 + 250;
      expect(sum < contactMilliseconds).toEqual(true);
      expect(waitMilliseconds >= 100).toEqual(true);
    }
  }
});

// Guards against waits that together end after a configuration must be in force.
test("a change is applied within its bound, by daemons that read it and followers", () => {
  for (const applyMilliseconds of [500, 700, 1_000, 2_000, 3_000, 10_000]) {
    for (const drainMilliseconds of [1_000, 2_000, 3_000, 4_000]) {
      const bounds = {
        drainMilliseconds,
        contactMilliseconds: 3_000,
        sendMilliseconds: 250,
        backoffMilliseconds: 225,
        applyMilliseconds,
      };
      const guaranteed = computeApplyMilliseconds(computeListTiming(bounds));
      expect(guaranteed).toBeLessThanOrEqual(applyMilliseconds);
      const relay = relayTimes(bounds);
      if (relay === undefined) continue;
      const reader = relay.maximumAnswerIntervalMilliseconds +
        relay.callTimeoutMilliseconds + relay.retryTimeoutMilliseconds;
      const follower = relay.followWaitMilliseconds +
        relay.followTimeoutMilliseconds + relay.fallbackJitterMilliseconds;
      expect(Math.max(reader, follower)).toBeLessThan(applyMilliseconds);
    }
  }
});
