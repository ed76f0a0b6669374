/** An injected random number generator, so that a seed reproduces a run. */
export interface RandomSource {
  /** A number in [0, 1). */
  next(): number;
  /** An integer in [0, bound). */
  nextInteger(bound: number): number;
  /** `bytes` random bytes in hexadecimal. */
  nextHexadecimal(bytes: number): string;
}
