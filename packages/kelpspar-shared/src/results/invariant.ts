import { INVARIANTS } from "./invariants.ts";

/**
 * Throws if `condition` is false. The number refers to the entry of
 * `INVARIANTS` that states the assumption.
 */
export function invariant(
  condition: unknown,
  number: keyof typeof INVARIANTS,
): asserts condition {
  if (condition) return;
  throw new Error(`Invariant ${number} violated: ${INVARIANTS[number]}`);
}
