import type { RandomSource } from "kelpspar-shared";

const LOWEST_FACTOR = 0.5;
const SHORTEST_MILLISECONDS = 50;
const LONGEST_MILLISECONDS = 30_000;

/** Bounds of the retry delay that a rejected caller gets. */
export interface RetryDelayOptions {
  readonly random: RandomSource;
  /** The caller's consecutive failures; each doubles the delay. */
  readonly consecutiveFailures?: number;
  /** Default 50 milliseconds. */
  readonly shortestMilliseconds?: number;
  /** Default 30,000 milliseconds. */
  readonly longestMilliseconds?: number;
}

/**
 * Returns the delay after which a rejected caller should retry, in whole
 * milliseconds: `wait`, doubled for each consecutive failure, times a random
 * factor from 0.5 to 1.5.
 *
 * Without jitter, all callers rejected in one burst retry in one burst and are
 * rejected again; the rejections then form a sawtooth.
 */
export function retryDelayMilliseconds(
  wait: number,
  options: RetryDelayOptions,
): number {
  const shortest = options.shortestMilliseconds ?? SHORTEST_MILLISECONDS;
  const longest = options.longestMilliseconds ?? LONGEST_MILLISECONDS;
  const doubled = wait * 2 ** (options.consecutiveFailures ?? 0);
  const base = Math.min(longest, Math.max(shortest, doubled));
  return Math.ceil(base * (LOWEST_FACTOR + options.random.next()));
}
