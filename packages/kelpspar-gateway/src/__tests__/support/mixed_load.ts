import type { RandomSource } from "kelpspar-shared";
import type { LoadKind } from "./play_stage_load.ts";
import type { SimulatedService } from "./simulated_stages.ts";
import { createTermsFactory } from "./piece_terms.ts";

const CALL_MILLISECONDS = 150;
const terms = createTermsFactory(CALL_MILLISECONDS);

function zonesOf(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => "abc".charAt(index % 3));
}

/**
 * Stage services with some ten endpoints each. The first one makes large
 * results, fourteen of which fill an endpoint, as well as small ones.
 */
export const MIXED_SERVICES: readonly SimulatedService[] = [
  { name: "encode", zones: zonesOf(9), terms: terms(8, 16, 42) },
  { name: "retrieve", zones: zonesOf(11), terms: terms(25, 5.1, 4.42) },
  { name: "rerank", zones: zonesOf(13), terms: terms(43, 2.97, 0.7525) },
];

const LARGE = { service: "encode", after: [], resultBytes: 3_000_000 };
const SMALL = { service: "encode", after: [], resultBytes: 8_000, pieces: 1 };

/** Draws a piece count: 0 except for `share` of requests, else of a given mean. */
function drawCount(random: RandomSource, share: number, mean: number): number {
  if (random.next() >= share) return 0;
  return 1 + Math.floor(random.next() * 2 * (mean - 0.5));
}

/** A valuable kind, an urgent one and one of low worth that may wait. */
export const MIXED_KINDS: readonly LoadKind[] = [
  {
    name: "plan",
    perSecond: 25.1,
    worth: 3.1,
    lateWorth: 0.46,
    objectiveMilliseconds: 1_500,
    deadlineMilliseconds: 12_000,
    priority: 1.1,
    stages: [{ ...LARGE, pieces: 0 }],
    drawPieces: (random) => [drawCount(random, 0.7, 2.5)],
    tailMilliseconds: 320,
  },
  {
    name: "review",
    perSecond: 35.2,
    worth: 2.4,
    lateWorth: 0.36,
    objectiveMilliseconds: 2_200,
    deadlineMilliseconds: 8_000,
    priority: 1,
    stages: [
      SMALL,
      { service: "retrieve", after: [0], resultBytes: 60_000, pieces: 8 },
      { service: "rerank", after: [1], resultBytes: 6_000, pieces: 16 },
    ],
    tailMilliseconds: 220,
  },
  {
    name: "chat",
    perSecond: 27.2,
    worth: 0.43,
    lateWorth: 0.065,
    objectiveMilliseconds: 1_900,
    deadlineMilliseconds: 15_000,
    priority: 1.2,
    stages: [
      { ...LARGE, pieces: 0 },
      SMALL,
      { service: "retrieve", after: [1], resultBytes: 60_000, pieces: 8 },
      { service: "rerank", after: [2], resultBytes: 6_000, pieces: 16 },
    ],
    drawPieces: (random) => [drawCount(random, 0.4, 1.5), 1, 8, 16],
    tailMilliseconds: 180,
  },
];
