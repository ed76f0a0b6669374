import type { RunState } from "./run_state.ts";
import type { GiveUp, Step, StepKind } from "./step.ts";

/** Where a run stands after a step, and what it does next. */
export interface Transition {
  readonly state: RunState;
  readonly next: Step | GiveUp;
}

/** Ends a run. */
export function giveUp(
  state: RunState,
  options: { readonly isFinal: boolean },
): Transition {
  return { state, next: { type: "give_up", ...options } };
}

/** Takes a step that runs nothing again. */
export function go(
  state: RunState,
  step: { readonly kind: StepKind } & Partial<Omit<Step, "type">>,
): Transition {
  const next = {
    type: "step",
    where: "same",
    wait: "none",
    isRetry: false,
    ...step,
  } as const;
  return { state, next };
}

/** Submits again, which may run work again. */
export function submitAgain(
  state: RunState,
  step: Partial<Omit<Step, "type" | "kind" | "isRetry">>,
): Transition {
  const { earlierMayHaveRun, currentMayHaveRun } = state;
  const next: RunState = {
    ...state,
    earlierMayHaveRun: earlierMayHaveRun || currentMayHaveRun,
    currentMayHaveRun: false,
  };
  return go(next, { where: "other", ...step, kind: "submit", isRetry: true });
}
