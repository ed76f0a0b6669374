/** Why a stream can't go on at another endpoint now. */
export interface FailoverRefusal {
  /** Without ids. */
  readonly reason: string;
  /** When to try again, milliseconds; undefined if nobody knows. */
  readonly retryAfterMilliseconds?: number | undefined;
  /** True if nothing can change it; default false. */
  readonly isFinal?: boolean;
}

/** The request has run at as many endpoints as it may. */
export const NO_ATTEMPT: FailoverRefusal = {
  reason: "no attempt left",
  isFinal: true,
};
