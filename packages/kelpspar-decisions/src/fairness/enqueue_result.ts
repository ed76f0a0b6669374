/** Names a waiting call for `FairQueue.remove`. */
export type QueueTicket = number;

/** Whether a call waits now, or was refused at once. */
export type EnqueueResult =
  | { readonly queued: true; readonly ticket: QueueTicket }
  | {
    readonly queued: false;
    readonly reason: "queue_full";
    /** When to come back, jittered, milliseconds. */
    readonly retryAfterMilliseconds: number;
  };
