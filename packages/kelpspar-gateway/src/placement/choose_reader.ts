import type { ReaderPlace } from "./reader_place.ts";

/** A model endpoint considered for one request. */
export interface ReaderCandidate {
  readonly endpointId: string;
  /** Prompt tokens that it was assigned and has not read yet. */
  readonly waitingTokens: number;
  /** Tokens of this prompt's prefix in its prompt cache. */
  readonly cachedTokens: number;
  /** Further tokens that it has probably cached; see `likelyTokens`. */
  readonly likelyCachedTokens: number;
  /** Tokens that fit into its cache before a useful part is evicted. */
  readonly freeTokens: number;
  /** Bytes of the request's inputs that are in other availability zones. */
  readonly crossingBytes: number;
  /** Ratio of observed to expected time. */
  readonly slowness: number;
}

/** Inputs of `chooseReader`. */
export interface ChooseReaderOptions {
  readonly candidates: readonly ReaderCandidate[];
  readonly promptTokens: number;
}

/**
 * Cost of a megabyte of cross-zone traffic, in prompt tokens read. A megabyte
 * takes a millisecond and costs the operator money; a token takes a fiftieth of
 * a millisecond. Two results of 1.5 MB cost as much as 1,500 tokens, so an
 * endpoint in the same zone is chosen unless it is more than some ten
 * milliseconds of reading behind.
 */
const CROSSING_TOKENS_PER_MEGABYTE = 500;
/** Fixed cost of fetching cached tokens, in tokens: a round trip. */
const FETCH_TOKENS = 100;
/** Cost of fetching a cached token relative to reading it: the transfer. */
const FETCH_SHARE = 0.28;
/**
 * Cost of evicting a useful token, which has to be read again, relative to
 * reading one. Without it, long prompts are cached in every zone and evict each
 * other, with prompts of 13,300 tokens and memory for 40 of them.
 */
const EVICTION_SHARE = 1;
const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Chooses the endpoint that reads a request, by lowest total cost. In bursts, a
 * prompt of 20,000 tokens occupies an endpoint for half a second; counted as
 * one request among others, it delays those behind it past their objective. The
 * backlog is therefore counted in tokens. Cached prompt, zone of the inputs and
 * backlog add up to one cost, because an endpoint that caches the prompt is no
 * use while it is busy with another one.
 */
export function chooseReader(
  { candidates, promptTokens }: ChooseReaderOptions,
): ReaderPlace | undefined {
  const source = longestCached(candidates);
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

function longestCached(
  candidates: readonly ReaderCandidate[],
): ReaderCandidate | undefined {
  let best: ReaderCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.cachedTokens > (best?.cachedTokens ?? 0)) best = candidate;
  }
  return best;
}

/** Cost of reading the request at a candidate, in tokens. */
function costOf(
  candidate: ReaderCandidate,
  options: {
    readonly from: ReaderCandidate | undefined;
    readonly promptTokens: number;
  },
): number {
  const { from, promptTokens } = options;
  const { waitingTokens, cachedTokens, likelyCachedTokens } = candidate;
  const { crossingBytes, slowness } = candidate;
  const evicted = promptTokens - cachedTokens - candidate.freeTokens;
  const fetched = (from?.cachedTokens ?? 0) - cachedTokens;
  const isFetch = from !== undefined;
  if (isFetch && fetched <= 0) return Number.POSITIVE_INFINITY;
  const cached = cachedTokens + (isFetch ? fetched : 0);
  const fetchCost = isFetch ? FETCH_TOKENS + FETCH_SHARE * fetched : 0;
  const likely = isFetch ? 0 : likelyCachedTokens;
  const reading = (waitingTokens + promptTokens - cached - likely) * slowness;
  const crossing = crossingBytes / BYTES_PER_MEGABYTE *
    CROSSING_TOKENS_PER_MEGABYTE;
  const evictionCost = Math.max(0, evicted) * EVICTION_SHARE;
  return reading + fetchCost + crossing + evictionCost;
}
