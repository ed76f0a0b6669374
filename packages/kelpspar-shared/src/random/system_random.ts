import type { RandomSource } from "./random_source.ts";
import type { Buffer } from "node:buffer";
import { randomBytes } from "node:crypto";
import { SeededRandom } from "./seeded_random.ts";

const POOL_BYTES = 4_096;

/**
 * The random source of a running process. Identifiers use unpredictable bytes,
 * read from the operating system in pools; jitter and choices among endpoints
 * use a generator that is seeded once, since they are needed thousands of times
 * a second and need not be secret.
 */
export class SystemRandom implements RandomSource {
  readonly #generator = new SeededRandom(randomBytes(4).readInt32BE());
  #pool: Buffer = randomBytes(POOL_BYTES);
  #used = 0;

  next(): number {
    return this.#generator.next();
  }

  nextInteger(bound: number): number {
    return this.#generator.nextInteger(bound);
  }

  nextHexadecimal(bytes: number): string {
    if (this.#used + bytes > POOL_BYTES) {
      this.#pool = randomBytes(POOL_BYTES);
      this.#used = 0;
    }
    const start = this.#used;
    this.#used += bytes;
    return this.#pool.toString("hex", start, this.#used);
  }
}
