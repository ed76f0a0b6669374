import type { UnfinishedResult } from "./attempt_result.ts";
import type { RunState } from "./run_state.ts";
import type { StepKind } from "./step.ts";
import type { Transition } from "./transition.ts";
import { afterAttach } from "./after_attach.ts";
import { afterLookUp } from "./after_look_up.ts";
import { afterSubmit } from "./after_submit.ts";

const HANDLERS: Readonly<
  Record<
    StepKind,
    (state: RunState, result: UnfinishedResult) => Transition
  >
> = { submit: afterSubmit, attach: afterAttach, look_up: afterLookUp };

/** A step and its result. */
export interface FinishedStep {
  readonly kind: StepKind;
  readonly result: UnfinishedResult;
}

/**
 * Decides the next step of a run after a step without a whole answer. Pure: the
 * same state and result always lead to the same decision.
 */
export function advanceRun(state: RunState, step: FinishedStep): Transition {
  const { kind, result } = step;
  const progressed = result.type === "cut" && result.progressed;
  const idleSteps = progressed ? 0 : state.idleSteps + 1;
  return HANDLERS[kind]({ ...state, idleSteps }, result);
}
