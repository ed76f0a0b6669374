import type { ReaderPlace } from "./reader_place.ts";

/** A model endpoint as a place for one request. */
export interface ReaderCandidate {
  readonly endpointId: string;
  /** Prompt tokens that it was given and has not read yet. */
  readonly waitingTokens: number;
  /** Tokens at the beginning of this prompt that it keeps. */
  readonly heldTokens: number;
  /** Tokens beyond these that it is likely to keep though nobody knows. */
  readonly likelyTokens: number;
  /** Tokens that fit into its memory before something of use yields. */
  readonly freeTokens: number;
  /** Bytes of the request's inputs that lie in other availability zones. */
  readonly crossingBytes: number;
  /** Observed time against the expected one. */
  readonly slowness: number;
}

/** What a reader is chosen from. */
export interface ChooseReaderOptions {
  readonly candidates: readonly ReaderCandidate[];
  readonly promptTokens: number;
}

/**
 * What a megabyte between zones weighs, in prompt tokens that are read. A
 * megabyte takes a millisecond and costs the operator money, a token takes a
 * fiftieth: two results of 1.5 MB are worth 1,500 tokens, so that an endpoint
 * nearby is taken unless it is some ten milliseconds of reading behind.
 */
const CROSSING_TOKENS_PER_MEGABYTE = 500;
/** What a fetch of kept tokens costs beside its length, tokens: a round trip. */
const FETCH_TOKENS = 100;
/** What fetching a token costs against reading it: the memory that moves. */
const FETCH_SHARE = 0.28;
/**
 * What a token weighs that makes another yield which is of use: that one has
 * to be read again. Without it, long prompts are kept in every zone and push
 * each other out, with prompts of 13,300 tokens and memory for 40 of them.
 */
const YIELD_SHARE = 1;
const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Chooses where a request is read. Answers bursts in which long prompts meet:
 * one of 20,000 tokens holds an endpoint for half a second, and counted as one
 * request among others it makes those behind it late. What waits is counted in
 * tokens, and the prompt, its inputs' zone and the wait are one sum, since the
 * endpoint that keeps a prompt is of no use if it is busy with another.
 */
export function chooseReader(
  { candidates, promptTokens }: ChooseReaderOptions,
): ReaderPlace | undefined {
  const source = bestHolder(candidates);
  let best: ReaderPlace | undefined;
  let leastCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    for (const from of [undefined, source]) {
      const cost = costOf(candidate, { from, promptTokens });
      if (cost >= leastCost) continue;
      leastCost = cost;
      const promptSourceId = from?.endpointId;
      best = { endpointId: candidate.endpointId, promptSourceId };
    }
  }
  return best;
}

function bestHolder(
  candidates: readonly ReaderCandidate[],
): ReaderCandidate | undefined {
  let best: ReaderCandidate | undefined;
  for (const one of candidates) {
    if (one.heldTokens > (best?.heldTokens ?? 0)) best = one;
  }
  return best;
}

/** Time and bytes of reading the request there, in tokens. */
function costOf(
  candidate: ReaderCandidate,
  options: {
    readonly from: ReaderCandidate | undefined;
    readonly promptTokens: number;
  },
): number {
  const { from, promptTokens } = options;
  const { waitingTokens, heldTokens, likelyTokens } = candidate;
  const { crossingBytes, slowness } = candidate;
  const yielding = promptTokens - heldTokens - candidate.freeTokens;
  const fetched = (from?.heldTokens ?? 0) - heldTokens;
  const isFetch = from !== undefined;
  if (isFetch && fetched <= 0) return Number.POSITIVE_INFINITY;
  const kept = heldTokens + (isFetch ? fetched : 0);
  const fetchCost = isFetch ? FETCH_TOKENS + FETCH_SHARE * fetched : 0;
  const likely = isFetch ? 0 : likelyTokens;
  const reading = (waitingTokens + promptTokens - kept - likely) * slowness;
  const crossing = crossingBytes / BYTES_PER_MEGABYTE *
    CROSSING_TOKENS_PER_MEGABYTE;
  const pressure = Math.max(0, yielding) * YIELD_SHARE;
  return reading + fetchCost + crossing + pressure;
}
