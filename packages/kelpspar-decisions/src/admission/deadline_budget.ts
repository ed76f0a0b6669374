import type { StageTimes } from "./stage_times.ts";
import { addStageTimes } from "./stage_times.ts";

/** What a stage's budget is worked out from. */
export interface DeadlineBudgetOptions {
  /** The stage's own times; undefined when it did not run lately. */
  readonly own: StageTimes | undefined;
  /** Those of the stages after it. */
  readonly later: readonly (StageTimes | undefined)[];
}

/**
 * How long one stage may take, all its attempts together, milliseconds: what
 * remains less the time that the stages after it are likely to need. When too
 * little remains for that, each stage gets its part of it. Without a budget, a
 * stage that hangs spends the whole deadline, and the request fails although
 * another endpoint would have answered; one sees it as deadlines that pass in
 * an early stage.
 */
export function stageBudget(
  remainingMilliseconds: number,
  options: DeadlineBudgetOptions,
): number {
  const remaining = Math.max(0, remainingMilliseconds);
  const reserved = addStageTimes(options.later).likely;
  const own = options.own?.p95 ?? reserved;
  const all = own + reserved;
  const part = all > 0 ? remaining * own / all : remaining;
  return Math.max(part, remaining - reserved);
}
