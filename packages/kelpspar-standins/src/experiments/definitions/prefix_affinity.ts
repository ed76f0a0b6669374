import type { Experiment } from "../experiment.ts";
import { bothArms } from "../both_arms.ts";

const PREFIX_CHARACTERS = 4_000;
const PREFIX_COUNT = 20;
/** Fits eight prefixes of 812 tokens. */
const CACHE_TOKENS = 6_500;

/**
 * Inputs share twenty long prefixes. An engine's cache holds eight of them;
 * prefill of a prefix that is not cached takes 160 ms.
 */
export const PREFIX_AFFINITY: Experiment = {
  name: "prefix-affinity",
  question: "Do calls find the engine that has their prefix cached?",
  runs: bothArms({
    site: {
      configuration: { sharedPrefixCharacters: PREFIX_CHARACTERS },
      engine: { eventGapShare: 0.05, cacheTokens: CACHE_TOKENS },
    },
    load: {
      requestsPerSecond: 65,
      onceShare: 0,
      pipeline: "chat",
      prefixes: { count: PREFIX_COUNT, characters: PREFIX_CHARACTERS },
    },
  }),
};
