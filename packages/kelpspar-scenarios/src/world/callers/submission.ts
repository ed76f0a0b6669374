import type { SubmitRequest } from "kelpspar-shared";
import type { Attempt } from "./attempt.ts";
import type { LoadKind } from "./load_kind.ts";
import type { RetryPlan } from "./retry_plan.ts";

/** A request of a caller and all its attempts. */
export interface Submission {
  readonly token: string;
  readonly accountId: string;
  /** The caller's availability zone. */
  readonly zone: string;
  readonly kind: LoadKind;
  readonly request: SubmitRequest;
  readonly retries: RetryPlan;
  readonly sentAt: number;
  readonly attempts: Attempt[];
}

/** The first attempt that received a whole answer. */
export function completedAttempt(
  submission: Submission,
): Attempt | undefined {
  return submission.attempts.find(({ ending }) =>
    ending?.type === "answered" && ending.record.type === "end"
  );
}

/** True if the caller received a whole answer within its deadline. */
export function isAttained(submission: Submission): boolean {
  const attempt = completedAttempt(submission);
  if (attempt?.endedAt === undefined) return false;
  const { deadlineMilliseconds } = submission.request;
  return attempt.endedAt - submission.sentAt <= deadlineMilliseconds + 5;
}
