/** Why a request is refused. */
export type RefusalReason = "cannot_finish_in_time" | "overloaded";

/**
 * Whether a request proceeds now or is refused immediately; admission never
 * delays a request.
 */
export type AdmissionDecision =
  | {
    readonly run: true;
    /**
     * True for a request admitted against the estimate in order to verify it.
     */
    readonly isProbe: boolean;
  }
  | {
    readonly run: false;
    readonly reason: RefusalReason;
    /** Jittered delay before the caller should retry, milliseconds. */
    readonly retryAfterMilliseconds: number;
  };
