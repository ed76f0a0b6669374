import type { ClaimWriteAnswer } from "./claim_attempt_event.ts";
import type { ClaimWriteKind } from "./claim_attempt_state.ts";
import type { ClaimContent } from "./claim_row.ts";

/** A write that an attempt asked for; its operation id names it. */
export interface QueuedClaimWrite {
  readonly kind: ClaimWriteKind;
  /** The row's key in the table `claims`. */
  readonly key: string;
  readonly content: ClaimContent;
  readonly expectedVersion: number;
}

/** The answer to one write of a batch, to be handed to its attempt. */
export interface ClaimWriteResult {
  readonly operationId: string;
  readonly answer: ClaimWriteAnswer;
}
