import { expect } from "earl";
import { test } from "node:test";
import { computeListTiming } from "../../endpoints/list_timing.ts";

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
