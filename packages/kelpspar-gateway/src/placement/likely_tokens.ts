/** How sure it is that the home of a prompt keeps what no other does. */
const HOME_SHARE = 0.5;

/** What is known of one endpoint and one prompt. */
export interface LikelyTokensOptions {
  /** The endpoint is the home of the prompt. */
  readonly isHome: boolean;
  /** Tokens of the prompt that other requests share. */
  readonly sharedTokens: number;
  /** The most of these that any endpoint is known to keep. */
  readonly mostHeldTokens: number;
}

/**
 * Tokens of a prompt that an endpoint likely keeps although nobody knows.
 *
 * Load: the coordinator is stopped, and the next one knows nothing of what it
 * placed; prompts of many thousand tokens are read again at other endpoints.
 * Each prompt has a home, the same for every coordinator, where it is read
 * first unless that costs more than it saves. The next coordinator finds it
 * there without being told.
 */
export function likelyTokens(options: LikelyTokensOptions): number {
  const { isHome, sharedTokens, mostHeldTokens } = options;
  return isHome ? HOME_SHARE * Math.max(0, sharedTokens - mostHeldTokens) : 0;
}
