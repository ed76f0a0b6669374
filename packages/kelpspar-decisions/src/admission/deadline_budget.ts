import type { StageTimes } from "./stage_times.ts";
import { addStageTimes } from "./stage_times.ts";

/** Inputs of `stageBudget`. */
export interface DeadlineBudgetOptions {
  /** Observed times of the stage itself; undefined without recent runs. */
  readonly own: StageTimes | undefined;
  /** Observed times of the stages after it. */
  readonly later: readonly (StageTimes | undefined)[];
}

/**
 * Time budget of one stage across all its attempts, milliseconds: the remaining
 * time minus the time that later stages are likely to need. If the remaining
 * time is too short for that, it is divided in proportion.
 *
 * Without a budget, a stage that hangs would spend the whole deadline, and the
 * request would fail although another endpoint could have answered. The symptom
 * is deadlines that expire in an early stage.
 */
export function stageBudget(
  remainingMilliseconds: number,
  options: DeadlineBudgetOptions,
): number {
  const remaining = Math.max(0, remainingMilliseconds);
  const reserved = addStageTimes(options.later).estimatedP95;
  const own = options.own?.p95 ?? reserved;
  const total = own + reserved;
  const part = total > 0 ? remaining * own / total : remaining;
  return Math.max(part, remaining - reserved);
}
