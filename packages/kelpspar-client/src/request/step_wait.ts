import type { RandomSource } from "kelpspar-shared";
import type { Step } from "./step.ts";

const FIRST_BACKOFF_MILLISECONDS = 25;
const LONGEST_BACKOFF_MILLISECONDS = 1_000;
const RETRY_AFTER_JITTER = 0.5;

/**
 * How long to wait before a step, milliseconds. Jittered, so that callers who
 * were refused together do not come back together; never less than the daemon
 * asked for.
 */
export function stepWait(
  step: Step,
  options: { readonly idleSteps: number; readonly random: RandomSource },
): number {
  const chance = options.random.next();
  if (step.wait === "none") return 0;
  if (step.wait !== "backoff") {
    return step.wait * (1 + RETRY_AFTER_JITTER * chance);
  }
  const longest = Math.min(
    LONGEST_BACKOFF_MILLISECONDS,
    FIRST_BACKOFF_MILLISECONDS * 2 ** options.idleSteps,
  );
  return longest * (1 + chance) / 2;
}
