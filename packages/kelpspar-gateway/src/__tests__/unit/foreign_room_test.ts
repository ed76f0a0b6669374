import { expect } from "earl";
import { test } from "node:test";
import { BOOKING_KINDS, BOOKING_SERVICES } from "../support/booking_load.ts";
import { playStageLoad } from "../support/play_stage_load.ts";

test("a late word of an endpoint's room doesn't shrink it for good", async () => {
  // Symptom: a stage's endpoints stood idle with all their room free, while a
  // hundred pieces waited for room.
  // Sequence: another daemon's results filled an endpoint for a moment; it was
  // asked for its room and answered with that of 300 ms before, when this
  // daemon's own results were there; the difference was taken for others'
  // results and asked for again with the same outcome.
  // Cause: an old figure was compared with a new one and kept.
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
