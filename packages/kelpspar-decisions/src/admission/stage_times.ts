/** Observed times of one stage, milliseconds, excluding local queue waits. */
export interface StageTimes {
  readonly samples: number;
  readonly minimum: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** Total time of consecutive stages, milliseconds. */
export interface RemainingTimes {
  /** Lower bound: no recent request was faster. */
  readonly minimum: number;
  /** About 50% of requests are faster. */
  readonly median: number;
  /** About 95% of requests are faster. */
  readonly estimatedP95: number;
}

/**
 * Adds up stage times. A plain sum of p95 values would overstate the p95 of the
 * total, because stages are rarely slow at the same time. The excesses over the
 * medians are treated as independent and added in quadrature.
 */
export function addStageTimes(
  stages: readonly (StageTimes | undefined)[],
): RemainingTimes {
  let minimum = 0;
  let median = 0;
  let squaredExcess = 0;
  for (const times of stages) {
    if (times === undefined) continue;
    minimum += times.minimum;
    median += times.p50;
    squaredExcess += (times.p95 - times.p50) ** 2;
  }
  return { minimum, median, estimatedP95: median + Math.sqrt(squaredExcess) };
}
