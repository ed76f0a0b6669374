import type { RandomSource } from "./random_source.ts";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const TWO_TO_32 = 2 ** 32;

/** A reproducible random number generator, for tests and for jitter. */
export class SeededRandom implements RandomSource {
  #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.#generator.next() >>> 0) / TWO_TO_32;
  }

  nextInteger(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  nextHexadecimal(bytes: number): string {
    let text = "";
    for (let index = 0; index < bytes; index++) {
      text += this.nextInteger(256).toString(16).padStart(2, "0");
    }
    return text;
  }
}
