import type { ClaimWriteAnswer } from "./claim_attempt_event.ts";
import type { ClaimWriteKind } from "./claim_attempt_state.ts";
import type { ClaimContent } from "./claim_row.ts";

/** A write requested by an attempt, identified by its operation id. */
export interface QueuedClaimWrite {
  readonly kind: ClaimWriteKind;
  /** Key of the row in the table `claims`. */
  readonly key: string;
  readonly content: ClaimContent;
  readonly expectedVersion: number;
}

/** Answer to one write of a batch, to be passed to its attempt. */
export interface ClaimWriteResult {
  readonly operationId: string;
  readonly answer: ClaimWriteAnswer;
}
