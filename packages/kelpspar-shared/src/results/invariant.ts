import { INVARIANTS } from "./invariants.ts";

/**
 * Throws when something happens that cannot happen. The number leads to the
 * line in `INVARIANTS` that says what was assumed.
 */
export function invariant(
  condition: unknown,
  number: keyof typeof INVARIANTS,
): asserts condition {
  if (condition) return;
  throw new Error(`Invariant ${number} broken: ${INVARIANTS[number]}`);
}
