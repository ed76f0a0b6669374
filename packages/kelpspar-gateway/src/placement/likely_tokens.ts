/** Probability that a prompt's home caches tokens that no other endpoint has. */
const HOME_LIKELIHOOD = 0.5;

/** Inputs of `likelyTokens` for one endpoint and one prompt. */
export interface LikelyTokensOptions {
  /** Whether the endpoint is the prompt's home. */
  readonly isHome: boolean;
  /** Tokens of the prompt that other requests share. */
  readonly sharedTokens: number;
  /** Most of these that any endpoint is known to have cached. */
  readonly maxCachedTokens: number;
}

/**
 * Estimates how many tokens of a prompt an endpoint has cached beyond those
 * that this coordinator knows of.
 *
 * A new coordinator knows nothing of the previous one's placements, so prompts
 * of many thousand tokens would be read again at other endpoints. Each prompt
 * has a home, the same for every coordinator, where it is read first unless
 * that costs more than it saves. The next coordinator finds it there without
 * any transfer of state.
 */
export function likelyTokens(options: LikelyTokensOptions): number {
  const { isHome, sharedTokens, maxCachedTokens } = options;
  return isHome
    ? HOME_LIKELIHOOD * Math.max(0, sharedTokens - maxCachedTokens)
    : 0;
}
