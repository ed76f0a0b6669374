/**
 * The only access to clocks and timers. Components subscribe to it; nothing
 * else in the product reads a clock or sets a timer, so that tests control
 * time.
 *
 * Source: the brief, "House style": a timer service that parts subscribe to.
 */
export interface TimerService {
  /** Monotonic milliseconds since an arbitrary start; never decreases. */
  now(): number;
  /**
   * Wall-clock milliseconds since 1970, for human-readable records. Never
   * compared between processes.
   */
  wallClock(): number;
  /** Calls `listener` once after `milliseconds`; returns the teardown. */
  registerTimeout(listener: () => void, milliseconds: number): () => void;
  /** Calls `listener` every `milliseconds`; returns the teardown. */
  registerInterval(listener: () => void, milliseconds: number): () => void;
}
