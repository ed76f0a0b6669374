/** The middle and the tail of some times, milliseconds. */
export interface Percentiles {
  readonly p50: number;
  readonly p99: number;
}

/** Reads percentiles off a sample. */
export function percentilesOf(sample: readonly number[]): Percentiles {
  const sorted = [...sample].sort((left, right) => left - right);
  const at = (share: number): number =>
    round(sorted[Math.floor(share * (sorted.length - 1))] ?? 0);
  return { p50: at(0.5), p99: at(0.99) };
}

/** Rounds to hundredths. */
export function round(value: number): number {
  return Math.round(value * 100) / 100;
}
