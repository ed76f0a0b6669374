import type { RunState } from "./run_state.ts";
import type { GiveUp, Step, StepKind } from "./step.ts";

/** A run's state after a step, and its next step. */
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

/** Continues with a step that repeats no work. */
export function continueWith(
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

/** Submits the request again, which may repeat work. */
export function resubmit(
  state: RunState,
  step: Partial<Omit<Step, "type" | "kind" | "isRetry">>,
): Transition {
  const { earlierMayHaveRun, currentMayHaveRun } = state;
  const next: RunState = {
    ...state,
    earlierMayHaveRun: earlierMayHaveRun || currentMayHaveRun,
    currentMayHaveRun: false,
  };
  return continueWith(next, {
    where: "other",
    ...step,
    kind: "submit",
    isRetry: true,
  });
}
