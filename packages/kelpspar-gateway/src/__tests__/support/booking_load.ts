import type { ChainStage } from "../../pieces/chain_request.ts";
import type { LoadKind } from "./play_stage_load.ts";
import type { SimulatedService } from "./simulated_stages.ts";
import { createTermsFactory } from "./piece_terms.ts";

const CALL_MILLISECONDS = 150;
const terms = createTermsFactory(CALL_MILLISECONDS);

/** Three stage services with the size of a booking site. */
export const BOOKING_SERVICES: readonly SimulatedService[] = [
  { name: "encode", zones: ["a", "b", "c"], terms: terms(6, 21.3, 27) },
  {
    name: "retrieve",
    zones: ["a", "a", "b", "c"],
    terms: terms(10, 13.2, 1.83),
  },
  { name: "rerank", zones: ["a", "a", "b", "c"], terms: terms(21, 6.2, 0.385) },
];

const CHAIN: readonly ChainStage[] = [
  { service: "encode", after: [], resultBytes: 8_000, pieces: 1 },
  { service: "retrieve", after: [0], resultBytes: 60_000, pieces: 8 },
  { service: "rerank", after: [1], resultBytes: 6_000, pieces: 16 },
];

/** An urgent kind and one of low worth with the same stages. */
export const BOOKING_KINDS: readonly LoadKind[] = [
  {
    name: "review",
    perSecond: 4.25,
    worth: 2.4,
    lateWorth: 0.36,
    objectiveMilliseconds: 1_900,
    deadlineMilliseconds: 10_000,
    priority: 0,
    stages: CHAIN,
    tailMilliseconds: 220,
  },
  {
    name: "chat",
    perSecond: 5.7,
    worth: 0.43,
    lateWorth: 0.065,
    objectiveMilliseconds: 1_700,
    deadlineMilliseconds: 15_000,
    priority: 2,
    stages: CHAIN,
    tailMilliseconds: 220,
  },
];
