import type { RandomSource } from "kelpspar-shared";

/** Lengths of streams, drawn from a log-normal distribution. */
export interface StreamLengths {
  readonly medianEvents: number;
  /** Standard deviation of the logarithm of the number of events. */
  readonly deviation: number;
  readonly maximumEvents: number;
  /** Time between two events. */
  readonly eventMilliseconds: number;
}

/** Draws the number of events of a stream. */
export function drawEventCount(
  { medianEvents, deviation, maximumEvents }: StreamLengths,
  random: RandomSource,
): number {
  // The Box-Muller transform; `next` may return 0.
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = radius * Math.cos(2 * Math.PI * random.next());
  const events = Math.round(medianEvents * Math.exp(deviation * normal));
  return Math.min(maximumEvents, Math.max(1, events));
}
