import type { TimerService } from "kelpspar-shared";
import type { RunningCall } from "./running_call.ts";

/** A call is overdue after its expected time multiplied by this factor, */
const OVERDUE_FACTOR = 1.7;
/** plus this, for the network and for pieces larger than average. */
const OVERDUE_MILLISECONDS = 80;
/**
 * A call hangs after its expected time multiplied by this factor. Slow endpoints
 * finish before that; a hanging call must not occupy its slot.
 */
const HANG_FACTOR = 9;
/** How often a hanging call is asked about that may not be aborted yet. */
const HANG_CHECK_MILLISECONDS = 250;

/** Options of `watchCall`. */
export interface WatchCallOptions {
  readonly call: RunningCall;
  /** Slowness of its endpoint at the start, relative to a healthy one. */
  readonly slowness: number;
  readonly timer: TimerService;
  /** Returns how much longer to wait before the call is hedged, milliseconds. */
  readonly onOverdue: () => Promise<number>;
  /** Called if the call still hasn't ended then. */
  readonly onHedge: () => void;
  /** Whether a call that hangs may be aborted. */
  readonly mayAbort: () => boolean;
}

/**
 * Reports when a call is overdue and aborts it when it hangs; returns the
 * teardown. A slow or silent endpoint delays all chains of its call: stages
 * take five times as long while the other endpoints are idle.
 */
export function watchCall(options: WatchCallOptions): () => void {
  const { call, timer, onOverdue, onHedge, mayAbort } = options;
  const slowness = Math.max(1, options.slowness);
  const overdueAfter = call.expectedCallTime * OVERDUE_FACTOR * slowness +
    OVERDUE_MILLISECONDS;
  let hasEnded = false;
  let stopHedging = (): void => {};
  const handleOverdue = async (): Promise<void> => {
    const wait = await onOverdue();
    if (hasEnded) return;
    if (wait === 0) onHedge();
    else stopHedging = timer.registerTimeout(onHedge, wait);
  };
  const stopOverdue = timer.registerTimeout(
    () => void handleOverdue(),
    overdueAfter,
  );
  const handleHang = (): void => {
    if (mayAbort()) call.abort.abort();
    else {
      stopAborting = timer.registerTimeout(
        handleHang,
        HANG_CHECK_MILLISECONDS,
      );
    }
  };
  let stopAborting = timer.registerTimeout(
    handleHang,
    Math.max(overdueAfter * 2, call.expectedCallTime * HANG_FACTOR),
  );
  return () => {
    hasEnded = true;
    stopOverdue();
    stopHedging();
    stopAborting();
  };
}
