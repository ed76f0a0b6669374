/** What one client account may keep waiting in one queue. */
export interface QueueBounds {
  readonly maximumRequests: number;
  readonly maximumBytes: number;
  /** The longest a call may wait, milliseconds. */
  readonly maximumWaitMilliseconds: number;
}

/** The bounds of an account that states none. */
export const DEFAULT_QUEUE_BOUNDS: QueueBounds = {
  maximumRequests: 256,
  maximumBytes: 16 * 1024 * 1024,
  maximumWaitMilliseconds: 30_000,
};
