import type { RandomSource } from "kelpspar-shared";
import type { LoadKind } from "./play_stage_load.ts";
import type { SimulatedService } from "./simulated_stages.ts";
import { createTermsFactory } from "./piece_terms.ts";

const CALL_MILLISECONDS = 200;
const terms = createTermsFactory(CALL_MILLISECONDS);

/**
 * Stage services of a site whose first one makes large results, nine of which
 * fill an endpoint, as well as the small ones of other kinds.
 */
export const SURVEY_SERVICES: readonly SimulatedService[] = [
  { name: "encode", zones: ["a", "b", "c"], terms: terms(6, 28, 13.5) },
  {
    name: "retrieve",
    zones: ["a", "a", "b", "c"],
    terms: terms(16, 10.7, 2.04),
  },
  { name: "rerank", zones: ["a", "a", "b", "c"], terms: terms(26, 6.6, 0.33) },
];

const LARGE = { service: "encode", after: [], resultBytes: 1_500_000 };
const SMALL = { service: "encode", after: [], resultBytes: 8_000, pieces: 1 };

/** Draws a piece count: 0 except for `share` of requests, else of a given mean. */
function drawCount(random: RandomSource, share: number, mean: number): number {
  if (random.next() >= share) return 0;
  return 1 + Math.floor(random.next() * 2 * (mean - 0.5));
}

/** One valuable urgent kind and two that need all stages but may wait longer. */
export const SURVEY_KINDS: readonly LoadKind[] = [
  {
    name: "assess",
    perSecond: 5.8,
    worth: 4.8,
    lateWorth: 0.72,
    objectiveMilliseconds: 1_100,
    deadlineMilliseconds: 8_000,
    priority: 1,
    stages: [{ ...LARGE, pieces: 0 }],
    drawPieces: (random) => [drawCount(random, 0.7, 2.5)],
    tailMilliseconds: 240,
  },
  {
    name: "summary",
    perSecond: 7.8,
    worth: 1.1,
    lateWorth: 0.17,
    objectiveMilliseconds: 2_500,
    deadlineMilliseconds: 6_000,
    priority: 1.1,
    stages: [
      SMALL,
      { service: "retrieve", after: [0], resultBytes: 60_000, pieces: 6 },
      { service: "rerank", after: [1], resultBytes: 6_000, pieces: 10 },
    ],
    tailMilliseconds: 120,
  },
  {
    name: "notes",
    perSecond: 6.3,
    worth: 0.45,
    lateWorth: 0.068,
    objectiveMilliseconds: 2_700,
    deadlineMilliseconds: 20_000,
    priority: 1.2,
    stages: [
      { ...LARGE, pieces: 0 },
      SMALL,
      { service: "retrieve", after: [1], resultBytes: 60_000, pieces: 6 },
      { service: "rerank", after: [2], resultBytes: 6_000, pieces: 10 },
    ],
    drawPieces: (random) => [drawCount(random, 0.4, 1.5), 1, 6, 10],
    tailMilliseconds: 60,
  },
];
