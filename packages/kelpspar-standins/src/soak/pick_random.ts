import type { RandomSource } from "kelpspar-shared";

/** Returns a random one of `values`, which must not be empty. */
export function pickRandom<Value>(
  values: readonly Value[],
  random: RandomSource,
): Value {
  return values[random.nextInteger(values.length)] as Value;
}
