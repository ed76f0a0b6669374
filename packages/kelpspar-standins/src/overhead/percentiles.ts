/** Median and 99th percentile, in milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p99: number;
}

/** Computes the percentiles of a sample, rounded to hundredths. */
export function computePercentiles(sample: readonly number[]): Percentiles {
  const sorted = [...sample].sort((left, right) => left - right);
  const at = (share: number): number =>
    roundToHundredths(sorted[Math.floor(share * (sorted.length - 1))] ?? 0);
  return { p50: at(0.5), p99: at(0.99) };
}

export function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
