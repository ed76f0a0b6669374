import type { RandomSource } from "kelpspar-shared";

const LOWEST_FACTOR = 0.5;
const SHORTEST_MILLISECONDS = 50;
const LONGEST_MILLISECONDS = 30_000;

/** Bounds of the wait that a refused caller is told. */
export interface ComebackOptions {
  readonly random: RandomSource;
  /** Failures in a row that the caller has had; each doubles the wait. */
  readonly failuresInARow?: number;
  /** Default 50 milliseconds. */
  readonly shortestMilliseconds?: number;
  /** Default 30,000 milliseconds. */
  readonly longestMilliseconds?: number;
}

/**
 * When a refused caller should come back, in whole milliseconds: `wait`,
 * doubled for each failure in a row, times a chance factor from 0.5 to 1.5.
 *
 * Without the chance factor all callers refused in one burst come back as one
 * burst and are refused again; the refusals then show as a sawtooth.
 */
export function comebackMilliseconds(
  wait: number,
  options: ComebackOptions,
): number {
  const shortest = options.shortestMilliseconds ?? SHORTEST_MILLISECONDS;
  const longest = options.longestMilliseconds ?? LONGEST_MILLISECONDS;
  const doubled = wait * 2 ** (options.failuresInARow ?? 0);
  const base = Math.min(longest, Math.max(shortest, doubled));
  return Math.ceil(base * (LOWEST_FACTOR + options.random.next()));
}
