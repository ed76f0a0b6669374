import { expect } from "earl";
import { test } from "node:test";
import { BOOKING_KINDS, BOOKING_SERVICES } from "../support/booking_load.ts";
import { playStageLoad } from "../support/play_stage_load.ts";

test("a stale room report doesn't reduce an endpoint's room permanently", async () => {
  // Guards against keeping the difference between a stale room report and the
  // current count: another daemon's results fill an endpoint for a moment, and
  // the report shows its room of 300 ms before, when it held this daemon's own
  // results. The difference counts as foreign, each new poll gives the same, and
  // the endpoints stay idle with free room while a hundred pieces wait for it.
  const figures = await playStageLoad({
    seed: 1,
    milliseconds: 16_000,
    services: BOOKING_SERVICES,
    kinds: BOOKING_KINDS,
    bursts: [],
    roomLagMilliseconds: 300,
    foreignResults: { from: 3_000, until: 4_000, share: 0.9 },
  });
  expect(figures.worth > 0.9).toEqual(true);
});
