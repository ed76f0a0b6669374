/** Limits of one client account in one queue. */
export interface QueueBounds {
  readonly maximumRequests: number;
  readonly maximumBytes: number;
  /** Maximum wait of a call, milliseconds. */
  readonly maximumWaitMilliseconds: number;
}

/** Default limits of an account. */
export const DEFAULT_QUEUE_BOUNDS: QueueBounds = {
  maximumRequests: 256,
  maximumBytes: 16 * 1024 * 1024,
  maximumWaitMilliseconds: 30_000,
};
