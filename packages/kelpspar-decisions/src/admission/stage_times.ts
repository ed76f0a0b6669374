/** Observed times of one stage, milliseconds, without waits in our queues. */
export interface StageTimes {
  readonly samples: number;
  readonly minimum: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Time that several stages take one after another, milliseconds. */
export interface RemainingTimes {
  /** No request was faster lately. */
  readonly minimum: number;
  /** About half the requests are faster. */
  readonly median: number;
  /** About nineteen requests in twenty are faster. */
  readonly likely: number;
}

/**
 * Adds up stages. A sum of p95 would overstate the p95 of the sum, since
 * stages are seldom slow all at once: the excesses over the medians are added
 * as independent ones, by their squares.
 */
export function addStageTimes(
  stages: readonly (StageTimes | undefined)[],
): RemainingTimes {
  let minimum = 0;
  let median = 0;
  let squares = 0;
  for (const times of stages) {
    if (times === undefined) continue;
    minimum += times.minimum;
    median += times.p50;
    squares += (times.p95 - times.p50) ** 2;
  }
  return { minimum, median, likely: median + Math.sqrt(squares) };
}
