import type { RandomSource } from "./random_source.ts";
import { randomBytes, randomInt } from "node:crypto";

const TWO_TO_48 = 2 ** 48;

/** Unpredictable chance for identifiers, from the operating system. */
export class SystemRandom implements RandomSource {
  next(): number {
    return randomBytes(6).readUIntBE(0, 6) / TWO_TO_48;
  }

  nextInteger(bound: number): number {
    return randomInt(bound);
  }

  nextHexadecimal(bytes: number): string {
    return randomBytes(bytes).toString("hex");
  }
}
