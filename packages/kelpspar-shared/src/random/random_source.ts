/** A source of chance that is passed in, so that a seed repeats a run. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
  /** A whole number in [0, bound). */
  nextInteger(bound: number): number;
  /** `bytes` random bytes in hexadecimal. */
  nextHexadecimal(bytes: number): string;
}
