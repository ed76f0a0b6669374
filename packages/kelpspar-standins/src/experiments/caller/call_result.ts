import type { PlannedRequest } from "../load/planned_request.ts";
import type { SubmissionEnd } from "./submission.ts";

/** Result of a planned request, after all its submissions. */
export interface CallResult {
  readonly request: PlannedRequest;
  /** End of the last submission. */
  readonly end: SubmissionEnd;
  /** Port of the daemon that received the last submission. */
  readonly port: number;
  /** Idempotency key of the last submission, if it had one. */
  readonly idempotencyKey?: string;
  /** Time from the planned send to the final record, in milliseconds. */
  readonly milliseconds: number;
  readonly submissions: number;
  /** Ports of the daemons whose answer broke off without a final record. */
  readonly cutAt: readonly number[];
}
