import type { PlannedRequest } from "../load/planned_request.ts";
import type { SubmissionEnd } from "./submission.ts";

/** What became of a planned request. */
export interface CallResult {
  readonly request: PlannedRequest;
  /** How its last submission ended. */
  readonly end: SubmissionEnd;
  /** The port of the last daemon that was used. */
  readonly port: number;
  /** The key of its last submission, if it had one. */
  readonly idempotencyKey?: string;
  /** From the planned time to the final record, milliseconds. */
  readonly milliseconds: number;
  readonly submissions: number;
  /** Ports of daemons at which a submission was cut off. */
  readonly cutAt: readonly number[];
}
