import type { RandomSource } from "kelpspar-shared";
import type { Step } from "./step.ts";

const INITIAL_BACKOFF_MILLISECONDS = 25;
const MAX_BACKOFF_MILLISECONDS = 1_000;
const RETRY_AFTER_JITTER = 0.5;

/**
 * Computes the wait before a step, in milliseconds. Jitter keeps callers that
 * were refused at the same time from retrying at the same time. The wait is
 * never shorter than the daemon requested.
 */
export function stepWait(
  step: Step,
  options: { readonly idleSteps: number; readonly random: RandomSource },
): number {
  const jitter = options.random.next();
  if (step.wait === "none") return 0;
  if (step.wait !== "backoff") {
    return step.wait * (1 + RETRY_AFTER_JITTER * jitter);
  }
  const backoffMilliseconds = Math.min(
    MAX_BACKOFF_MILLISECONDS,
    INITIAL_BACKOFF_MILLISECONDS * 2 ** options.idleSteps,
  );
  return backoffMilliseconds * (1 + jitter) / 2;
}
