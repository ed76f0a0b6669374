/** Why a request is refused. */
export type RefusalReason = "cannot_finish_in_time" | "overloaded";

/** Whether a request goes on now, or is refused at once; never held back. */
export type AdmissionDecision =
  | {
    readonly run: true;
    /** True for one let through against the estimate, to check it. */
    readonly isProbe: boolean;
  }
  | {
    readonly run: false;
    readonly reason: RefusalReason;
    /** When to come back, jittered, milliseconds. */
    readonly retryAfterMilliseconds: number;
  };
