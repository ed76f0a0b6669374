import type {
  ClaimAttemptAction,
  ClaimAttemptStep,
} from "./claim_attempt_action.ts";
import type { ClaimAttempt, ClaimWriteKind } from "./claim_attempt_state.ts";
import type { ClaimContent } from "./claim_row.ts";
import { createClaimContent } from "./claim_row.ts";

/** Creates a step with actions. */
export function step(
  attempt: ClaimAttempt,
  actions: readonly ClaimAttemptAction[],
): ClaimAttemptStep {
  return { attempt, actions };
}

/** Creates a step without actions. */
export function noop(attempt: ClaimAttempt): ClaimAttemptStep {
  return { attempt, actions: [] };
}

/** Creates a step that ends the attempt. */
export function finish(
  attempt: ClaimAttempt,
  phase: "foreign" | "released" | "done",
): ClaimAttemptStep {
  return step({ ...attempt, phase }, [{ type: "finish" }]);
}

/** Creates a step that sends one write. */
export function write(
  attempt: ClaimAttempt,
  kind: ClaimWriteKind,
): ClaimAttemptStep {
  const action: ClaimAttemptAction = {
    type: "write",
    kind,
    content: CONTENT_BUILDERS[kind](attempt),
    expectedVersion: attempt.version ?? attempt.baseVersion,
  };
  return step({ ...attempt, writing: kind }, [action]);
}

const CONTENT_BUILDERS: Readonly<
  Record<ClaimWriteKind, (attempt: ClaimAttempt) => ClaimContent>
> = {
  claim: ({ identity }) => createClaimContent("claimed", identity),
  release: ({ identity }) => createClaimContent("released", identity),
  done: ({ identity, result }) => ({
    ...createClaimContent("done", identity),
    ...(result === undefined ? {} : { result }),
  }),
};
