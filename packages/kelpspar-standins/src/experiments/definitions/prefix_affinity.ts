import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const PREFIX_CHARACTERS = 4_000;
const PREFIXES = 60;

/**
 * Inputs share sixty long prefixes. An engine's cache holds about 25 of them,
 * and reading one that is not cached takes 160 ms.
 */
export const PREFIX_AFFINITY: Experiment = {
  name: "prefix-affinity",
  question: "Do calls find the engine that has their prefix cached?",
  runs: bothArms({
    site: {
      configuration: { sharedPrefixCharacters: PREFIX_CHARACTERS },
      engine: { eventGapShare: 0.05 },
    },
    load: {
      requestsPerSecond: 65,
      onceShare: 0,
      pipeline: "chat",
      prefixes: { count: PREFIXES, characters: PREFIX_CHARACTERS },
    },
  }),
};
