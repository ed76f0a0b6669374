/**
 * When a caller sends a request again. All callers move on to the next address
 * when a connection is refused, since nothing has arrived then.
 */
export interface CallerPolicy {
  /** After a refusal that names other daemons and says `not_run`. */
  readonly followsElsewhere?: boolean;
  /** After a refusal that says `not_run` and when to come back. */
  readonly comesBack?: boolean;
  /** After a broken answer, under the same idempotency key. */
  readonly resubmitsBroken?: boolean;
  /** Names once-requests by keys that are bound to a daemon. */
  readonly bindsKeys?: boolean;
}
