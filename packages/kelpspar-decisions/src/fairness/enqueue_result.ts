/** Identifies a queued call for `FairQueue.remove`. */
export type QueueTicket = number;

/** Whether a call was queued or refused immediately. */
export type EnqueueResult =
  | { readonly queued: true; readonly ticket: QueueTicket }
  | {
    readonly queued: false;
    readonly reason: "queue_full";
    /** Jittered delay before the caller should retry, milliseconds. */
    readonly retryAfterMilliseconds: number;
  };
