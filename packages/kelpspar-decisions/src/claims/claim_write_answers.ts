import type { ClaimAttemptStep } from "./claim_attempt_action.ts";
import type { ClaimWriteAnswer } from "./claim_attempt_event.ts";
import type { ClaimAttempt, ClaimWriteKind } from "./claim_attempt_state.ts";
import type { ClaimDecision } from "./claim_decision.ts";
import type { FoundClaim } from "./claim_row.ts";
import { finish, stay, step, write } from "./claim_attempt_steps.ts";
import { decideClaim } from "./decide_claim.ts";

const ABSENT = 0;

/** Takes the table's answer to the write that is on its way. */
export function answerWrite(
  attempt: ClaimAttempt,
  answer: ClaimWriteAnswer,
): ClaimAttemptStep {
  const { writing, ...settled } = attempt;
  if (writing === undefined) return stay(attempt);
  if (answer.type === "unavailable") return waitOrFinish(settled);
  if (answer.type === "unknown") return LOST_ANSWERS[writing](settled);
  if (answer.type === "committed") {
    return COMMITS[writing](settled, answer.version);
  }
  return CONFLICTS[writing](settled, answer.found);
}

function resendLater(attempt: ClaimAttempt): ClaimAttemptStep {
  return step(attempt, [{ type: "resend_later" }]);
}

/** An abandoned attempt of which nothing was ever written needs no fence. */
function waitOrFinish(attempt: ClaimAttempt): ClaimAttemptStep {
  const hasNothing = attempt.version === undefined && !attempt.mayHaveWritten;
  if (attempt.phase === "abandoned" && hasNothing) {
    return finish(attempt, "released");
  }
  return resendLater(attempt);
}

const LOST_ANSWERS: Readonly<
  Record<ClaimWriteKind, (attempt: ClaimAttempt) => ClaimAttemptStep>
> = {
  claim: (attempt) => {
    const phase = attempt.phase === "pending" ? "unknown" : attempt.phase;
    return resendLater({ ...attempt, phase, mayHaveWritten: true });
  },
  release: resendLater,
  done: resendLater,
};

const COMMITS: Readonly<
  Record<
    ClaimWriteKind,
    (attempt: ClaimAttempt, version: number) => ClaimAttemptStep
  >
> = {
  claim: own,
  release: (attempt) => finish(attempt, "released"),
  done: (attempt, version) => finish({ ...attempt, version }, "done"),
};

function own(attempt: ClaimAttempt, version: number): ClaimAttemptStep {
  const held = { ...attempt, version, mayHaveWritten: false };
  if (attempt.phase === "abandoned") return write(held, "release");
  return step({ ...held, phase: "owned" }, [{ type: "run" }]);
}

type ConflictHandler = (
  attempt: ClaimAttempt,
  found: FoundClaim | null,
) => ClaimAttemptStep;

const CONFLICTS: Readonly<Record<ClaimWriteKind, ConflictHandler>> = {
  claim: (attempt, found) => {
    const decision = decideClaim(found, attempt.identity);
    if (decision.type === "owned") return own(attempt, decision.version);
    if (attempt.phase === "abandoned") return finish(attempt, "released");
    return followDecision(attempt, decision);
  },
  release: (attempt, found) => {
    if (found === null) {
      const { version: _deleted, ...absent } = attempt;
      return write({ ...absent, basis: ABSENT }, "release");
    }
    const decision = decideClaim(found, attempt.identity);
    if (decision.type !== "owned") return finish(attempt, "released");
    return write({ ...attempt, version: decision.version }, "release");
  },
  // Nobody else may change a claim that we hold. Whatever stands there now,
  // our own earlier `done` or something unforeseen, is not written over.
  done: (attempt) => finish(attempt, "done"),
};

/**
 * The conflict proves that the row has moved past the version that our earlier
 * writes expect, and versions only grow: none of them can take effect later.
 */
function followDecision(
  attempt: ClaimAttempt,
  decision: Exclude<ClaimDecision, { readonly type: "owned" }>,
): ClaimAttemptStep {
  if (decision.type === "claim") {
    const basis = decision.expectedVersion;
    if (basis === attempt.basis) return resendLater(attempt);
    const fresh = { ...attempt, basis, mayHaveWritten: false };
    return write({ ...fresh, phase: "pending" }, "claim");
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
