import type { ClaimAttemptStep } from "./claim_attempt_action.ts";
import type { ClaimWriteAnswer } from "./claim_attempt_event.ts";
import type { ClaimAttempt, ClaimWriteKind } from "./claim_attempt_state.ts";
import type { ClaimDecision } from "./claim_decision.ts";
import type { FoundClaim } from "./claim_row.ts";
import { finish, noop, step, write } from "./claim_attempt_steps.ts";
import { decideClaim } from "./decide_claim.ts";

const ABSENT_VERSION = 0;

/** Handles the table's answer to the pending write. */
export function handleWriteAnswer(
  attempt: ClaimAttempt,
  answer: ClaimWriteAnswer,
): ClaimAttemptStep {
  const { writing, ...settled } = attempt;
  if (writing === undefined) return noop(attempt);
  if (answer.type === "unavailable") return retryOrFinish(settled);
  if (answer.type === "unknown") return LOST_ANSWER_HANDLERS[writing](settled);
  if (answer.type === "committed") {
    return COMMIT_HANDLERS[writing](settled, answer.version);
  }
  return CONFLICT_HANDLERS[writing](settled, answer.found);
}

function resendLater(attempt: ClaimAttempt): ClaimAttemptStep {
  return step(attempt, [{ type: "resend_later" }]);
}

/** An abandoned attempt that never wrote anything needs no fence. */
function retryOrFinish(attempt: ClaimAttempt): ClaimAttemptStep {
  const hasNothing = attempt.version === undefined && !attempt.mayHaveWritten;
  if (attempt.phase === "abandoned" && hasNothing) {
    return finish(attempt, "released");
  }
  return resendLater(attempt);
}

const LOST_ANSWER_HANDLERS: Readonly<
  Record<ClaimWriteKind, (attempt: ClaimAttempt) => ClaimAttemptStep>
> = {
  claim: (attempt) => {
    const phase = attempt.phase === "pending" ? "unknown" : attempt.phase;
    return resendLater({ ...attempt, phase, mayHaveWritten: true });
  },
  release: resendLater,
  done: resendLater,
};

const COMMIT_HANDLERS: Readonly<
  Record<
    ClaimWriteKind,
    (attempt: ClaimAttempt, version: number) => ClaimAttemptStep
  >
> = {
  claim: own,
  release: (attempt) => finish(attempt, "released"),
  done: (attempt, version) => finish({ ...attempt, version }, "done"),
};

function own(
  attempt: ClaimAttempt,
  version: number,
): ClaimAttemptStep {
  const confirmed = { ...attempt, version, mayHaveWritten: false };
  if (attempt.phase === "abandoned") return write(confirmed, "release");
  return step({ ...confirmed, phase: "owned" }, [{ type: "run" }]);
}

type ConflictHandler = (
  attempt: ClaimAttempt,
  found: FoundClaim | null,
) => ClaimAttemptStep;

const CONFLICT_HANDLERS: Readonly<Record<ClaimWriteKind, ConflictHandler>> = {
  claim: (attempt, found) => {
    const decision = decideClaim(found, attempt.identity);
    if (decision.type === "owned") return own(attempt, decision.version);
    if (attempt.phase === "abandoned") return finish(attempt, "released");
    return followDecision(attempt, decision);
  },
  release: (attempt, found) => {
    if (found === null) {
      const { version: _deleted, ...absent } = attempt;
      return write({ ...absent, baseVersion: ABSENT_VERSION }, "release");
    }
    const decision = decideClaim(found, attempt.identity);
    if (decision.type !== "owned") return finish(attempt, "released");
    return write({ ...attempt, version: decision.version }, "release");
  },
  // No other operation may change a claim that we hold. Whatever the row
  // contains now, our own earlier `done` or something unforeseen, is not
  // overwritten.
  done: (attempt) => finish(attempt, "done"),
};

/**
 * The conflict proves that the row has advanced past the version that our
 * earlier writes expect. Versions only increase, so none of them can take
 * effect later.
 */
function followDecision(
  attempt: ClaimAttempt,
  decision: Exclude<ClaimDecision, { readonly type: "owned" }>,
): ClaimAttemptStep {
  if (decision.type === "claim") {
    const baseVersion = decision.expectedVersion;
    if (baseVersion === attempt.baseVersion) return resendLater(attempt);
    const rebased = { ...attempt, baseVersion, mayHaveWritten: false };
    return write({ ...rebased, phase: "pending" }, "claim");
  }
  if (decision.type === "abandoned") {
    return step({ ...attempt, phase: "released" }, [
      { type: "refuse", outcome: "not_run" },
      { type: "finish" },
    ]);
  }
  return step({ ...attempt, phase: "foreign" }, [
    { type: "settle", decision },
    { type: "finish" },
  ]);
}
