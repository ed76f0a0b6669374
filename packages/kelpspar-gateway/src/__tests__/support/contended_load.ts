import type { RandomSource } from "kelpspar-shared";
import type { LoadBurst, LoadKind } from "./play_stage_load.ts";
import type { SimulatedService } from "./simulated_stages.ts";
import { createTermsFactory } from "./piece_terms.ts";

const CALL_MILLISECONDS = 150;
const terms = createTermsFactory(CALL_MILLISECONDS);

function zonesOf(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => "abcd".charAt(index % 4));
}

/** Stage services whose last one has hardly more capacity than its load. */
export const CONTENDED_SERVICES: readonly SimulatedService[] = [
  { name: "encode", zones: zonesOf(12), terms: terms(16, 8, 96) },
  { name: "retrieve", zones: zonesOf(10), terms: terms(63, 2, 11.55) },
  { name: "rerank", zones: zonesOf(11), terms: terms(98, 1.27, 1.74) },
];

const LARGE = { service: "encode", after: [], resultBytes: 3_000_000 };
const SMALL = { service: "encode", after: [], resultBytes: 8_000, pieces: 1 };
const RETRIEVE = { service: "retrieve", resultBytes: 60_000, pieces: 8 };
const RERANK = { service: "rerank", resultBytes: 6_000, pieces: 22 };

/** Draws a piece count: 0 except for `share` of requests, else of a given mean. */
function drawCount(random: RandomSource, share: number, mean: number): number {
  if (random.next() >= share) return 0;
  return 1 + Math.floor(random.next() * 2 * (mean - 0.5));
}

/** Draws the pieces of the last stage: 12 to 32. */
function drawRerank(random: RandomSource): number {
  return 12 + Math.floor(random.next() * 21);
}

/** An urgent kind, the largest one and one that may wait. */
export const CONTENDED_KINDS: readonly LoadKind[] = [
  {
    name: "review",
    perSecond: 92,
    worth: 2.4,
    lateWorth: 0.36,
    objectiveMilliseconds: 1_419,
    deadlineMilliseconds: 6_082,
    priority: 1,
    stages: [
      SMALL,
      { ...RETRIEVE, after: [0] },
      { ...RERANK, after: [1] },
    ],
    drawPieces: (random) => [1, 8, drawRerank(random)],
    tailMilliseconds: 200,
  },
  {
    name: "plan",
    perSecond: 119,
    worth: 3.1,
    lateWorth: 0.46,
    objectiveMilliseconds: 947,
    deadlineMilliseconds: 6_177,
    priority: 1.1,
    stages: [{ ...LARGE, pieces: 0 }],
    drawPieces: (random) => [drawCount(random, 0.7, 3)],
    tailMilliseconds: 200,
  },
  {
    name: "chat",
    perSecond: 54,
    worth: 0.43,
    lateWorth: 0.065,
    objectiveMilliseconds: 1_411,
    deadlineMilliseconds: 10_080,
    priority: 1.2,
    stages: [
      { ...LARGE, pieces: 0 },
      SMALL,
      { ...RETRIEVE, after: [1] },
      { ...RERANK, after: [2] },
    ],
    drawPieces: (random) => [
      drawCount(random, 0.4, 1.5),
      1,
      8,
      drawRerank(random),
    ],
    tailMilliseconds: 200,
  },
];

/** Rates rise to 1.55 times the mean and fall to 0.45 times within 13 s. */
export const CONTENDED_WAVES: readonly LoadBurst[] = Array.from(
  { length: 26 },
  (_, half) => ({
    from: half * 500,
    until: (half + 1) * 500,
    factor: 1 + 0.55 * Math.sin((half + 0.5) / 26 * 2 * Math.PI),
  }),
);
