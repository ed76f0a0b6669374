/**
 * When a caller submits a request again. All callers try the next address after
 * a refused connection, because the daemon has received nothing.
 */
export interface CallerPolicy {
  /** Retries at a daemon of `elsewhere`, after a refusal with `not_run`. */
  readonly followsElsewhere?: boolean;
  /** Retries after the refusal's delay, if its outcome is `not_run`. */
  readonly retriesLater?: boolean;
  /** Resubmits under the same idempotency key after a broken answer. */
  readonly resubmitsCut?: boolean;
  /** Binds the idempotency keys of once-requests to a daemon. */
  readonly bindsKeys?: boolean;
}
