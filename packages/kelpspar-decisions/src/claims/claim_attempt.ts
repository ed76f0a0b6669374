import type {
  ClaimAttemptAction,
  ClaimAttemptStep,
} from "./claim_attempt_action.ts";
import type {
  ClaimAttemptEvent,
  ClaimAttemptEventType,
} from "./claim_attempt_event.ts";
import type {
  ClaimAttempt,
  ClaimPhase,
  ClaimWriteKind,
} from "./claim_attempt_state.ts";
import type { ClaimIdentity } from "./claim_identity.ts";
import { invariant } from "kelpspar-shared";
import { handleWriteAnswer } from "./claim_write_answers.ts";
import { noop, step, write } from "./claim_attempt_steps.ts";

/** Starts an attempt; the first action writes the claim. */
export function beginClaim(identity: ClaimIdentity): ClaimAttemptStep {
  const attempt: ClaimAttempt = {
    identity,
    phase: "pending",
    baseVersion: 0,
    mayHaveWritten: false,
    unprovedCalls: 0,
  };
  return write(attempt, "claim");
}

/**
 * Advances an attempt by one event.
 *
 * Guards against this failure: a claim whose answer was lost is treated as held
 * or as failed, and a request runs twice, or is refused as `not_run` but runs.
 * Nothing is dispatched before the table has confirmed the claim, a lost answer
 * is resolved by sending the same claim again, and a refusal is returned only
 * when the attempt can never dispatch again. Throws invariant 9004 on a
 * dispatch without a confirmed claim.
 *
 * Source: the brief, "What must always hold" and "What fails" (a write that
 * takes effect while its answer never comes back).
 */
export function advanceClaim(
  attempt: ClaimAttempt,
  event: ClaimAttemptEvent,
): ClaimAttemptStep {
  return EVENT_HANDLERS[event.type](attempt, event as never);
}

type EventHandlers = {
  readonly [Type in ClaimAttemptEventType]: (
    attempt: ClaimAttempt,
    event: Extract<ClaimAttemptEvent, { readonly type: Type }>,
  ) => ClaimAttemptStep;
};

const EVENT_HANDLERS: EventHandlers = {
  committed: handleWriteAnswer,
  conflict: handleWriteAnswer,
  unknown: handleWriteAnswer,
  unavailable: handleWriteAnswer,
  resend,
  dispatch,
  not_started: recordNotStarted,
  complete,
  give_up: giveUp,
};

const RESENT_WRITES: Readonly<Partial<Record<ClaimPhase, ClaimWriteKind>>> = {
  pending: "claim",
  unknown: "claim",
  abandoned: "release",
  completing: "done",
};

function resend(attempt: ClaimAttempt): ClaimAttemptStep {
  const kind = RESENT_WRITES[attempt.phase];
  if (attempt.writing !== undefined || kind === undefined) return noop(attempt);
  return write(attempt, kind);
}

function dispatch(attempt: ClaimAttempt): ClaimAttemptStep {
  const { phase, unprovedCalls } = attempt;
  invariant(phase === "owned" || phase === "dispatched", 9004);
  return noop({
    ...attempt,
    phase: "dispatched",
    unprovedCalls: unprovedCalls + 1,
  });
}

function recordNotStarted(attempt: ClaimAttempt): ClaimAttemptStep {
  if (attempt.unprovedCalls === 0) return noop(attempt);
  const unprovedCalls = attempt.unprovedCalls - 1;
  const next = { ...attempt, unprovedCalls };
  if (unprovedCalls > 0) return noop(next);
  if (attempt.phase === "dispatched") return noop({ ...next, phase: "owned" });
  if (attempt.phase !== "unresolved") return noop(next);
  return write({ ...next, phase: "abandoned" }, "release");
}

function complete(
  attempt: ClaimAttempt,
  event: Extract<ClaimAttemptEvent, { readonly type: "complete" }>,
): ClaimAttemptStep {
  const { phase } = attempt;
  if (phase !== "dispatched" && phase !== "unresolved") return noop(attempt);
  const completing = {
    ...attempt,
    phase: "completing",
    result: event.result,
  } as const;
  return write(completing, "done");
}

function giveUp(attempt: ClaimAttempt): ClaimAttemptStep {
  return GIVE_UP_HANDLERS[attempt.phase](attempt);
}

const GIVE_UP_HANDLERS: Readonly<
  Record<ClaimPhase, (attempt: ClaimAttempt) => ClaimAttemptStep>
> = {
  pending: abandon,
  unknown: abandon,
  owned: abandon,
  dispatched: (attempt) =>
    step({ ...attempt, phase: "unresolved" }, [
      { type: "refuse", outcome: "outcome_unknown" },
    ]),
  unresolved: noop,
  completing: noop,
  abandoned: noop,
  foreign: noop,
  released: noop,
  done: noop,
};

const NOT_RUN: ClaimAttemptAction = { type: "refuse", outcome: "not_run" };

/**
 * Nothing was dispatched, and nothing can be dispatched from here on. A claim
 * that may still arrive late would lock the key forever, so it is fenced off by
 * a released row under the version that the claim expects.
 */
function abandon(attempt: ClaimAttempt): ClaimAttemptStep {
  const abandoned = { ...attempt, phase: "abandoned" } as const;
  if (attempt.writing !== undefined) return step(abandoned, [NOT_RUN]);
  if (attempt.version === undefined && !attempt.mayHaveWritten) {
    const released = { ...attempt, phase: "released" } as const;
    return step(released, [NOT_RUN, { type: "finish" }]);
  }
  const release = write(abandoned, "release");
  return step(release.attempt, [NOT_RUN, ...release.actions]);
}
