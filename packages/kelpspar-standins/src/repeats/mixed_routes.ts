import type { MixedRoute, MixedStage } from "./mixed_route.ts";

/** Calls that run with probability `share` and read nothing. */
function inputs(
  service: string,
  { most, share }: { readonly most: number; readonly share: number },
): MixedStage {
  return { service, after: [], pieces: [1, most], share };
}

/** Stages of which each reads the results of the one before it. */
function chain(
  first: number,
  counts: readonly (readonly [string, MixedStage["pieces"]])[],
): readonly MixedStage[] {
  return counts.map(([service, pieces], index) => ({
    service,
    after: index === 0 ? [] : [first + index - 1],
    pieces,
    share: 1,
  }));
}

const BOOKINGS = [
  {
    name: "book",
    kind: "non_idempotent",
    service: "plain",
    attempts: 1,
    isResumable: false,
    priority: 2,
    objectiveMilliseconds: 150,
    stages: [],
  },
  {
    name: "look",
    kind: "idempotent",
    service: "plain",
    attempts: 2,
    isResumable: false,
    priority: 2,
    objectiveMilliseconds: 150,
    stages: [],
  },
] as const satisfies readonly Omit<MixedRoute, "weight">[];

/** Resumable streams behind one chain of stages. */
export const ONE_CHAIN: readonly MixedRoute[] = [
  {
    name: "explain",
    weight: 1,
    kind: "streaming",
    service: "model",
    attempts: 2,
    isResumable: true,
    priority: 1,
    objectiveMilliseconds: 1_900,
    stages: chain(0, [
      ["first", [1, 1]],
      ["second", [6, 6]],
      ["third", [16, 16]],
    ]),
  },
];

/**
 * Streams of one model service, two of three resumable, one of them with inputs
 * beside its chain, and bookings.
 */
export const MOSTLY_RESUMABLE: readonly MixedRoute[] = [
  {
    name: "assess",
    weight: 17,
    kind: "streaming",
    service: "model",
    attempts: 2,
    isResumable: true,
    priority: 0,
    objectiveMilliseconds: 1_100,
    stages: [inputs("first", { most: 4, share: 0.7 })],
  },
  {
    name: "summarize",
    weight: 23,
    kind: "streaming",
    service: "model",
    attempts: 1,
    isResumable: false,
    priority: 1,
    objectiveMilliseconds: 2_500,
    stages: chain(0, [["first", [1, 1]], ["second", [6, 6]], [
      "third",
      [5, 15],
    ]]),
  },
  {
    name: "note",
    weight: 19,
    kind: "streaming",
    service: "model",
    attempts: 2,
    isResumable: true,
    priority: 2,
    objectiveMilliseconds: 2_700,
    stages: [
      inputs("first", { most: 2, share: 0.4 }),
      ...chain(1, [["first", [1, 1]], ["second", [6, 6]], [
        "third",
        [5, 15],
      ]]),
    ],
  },
  { ...BOOKINGS[0], weight: 15 },
  { ...BOOKINGS[1], weight: 8 },
];

/**
 * Streams of two model services with different objectives, one of three
 * resumable, and many bookings.
 */
export const SEVERAL_MODELS: readonly MixedRoute[] = [
  {
    name: "draft",
    weight: 35,
    kind: "streaming",
    service: "model",
    attempts: 1,
    isResumable: false,
    priority: 1,
    objectiveMilliseconds: 920,
    stages: [inputs("first", { most: 4, share: 0.7 })],
  },
  {
    name: "answer",
    weight: 27,
    kind: "streaming",
    service: "model",
    attempts: 2,
    isResumable: true,
    priority: 0,
    objectiveMilliseconds: 1_400,
    stages: chain(0, [["first", [1, 1]], ["second", [8, 8]], [
      "third",
      [8, 24],
    ]]),
  },
  {
    name: "chat",
    weight: 16,
    kind: "streaming",
    service: "light-model",
    attempts: 2,
    isResumable: true,
    priority: 2,
    objectiveMilliseconds: 1_400,
    stages: [
      inputs("first", { most: 2, share: 0.4 }),
      ...chain(1, [["first", [1, 1]], ["second", [8, 8]], [
        "third",
        [8, 24],
      ]]),
    ],
  },
  { ...BOOKINGS[0], weight: 20, objectiveMilliseconds: 200 },
  { ...BOOKINGS[1], weight: 8 },
];
