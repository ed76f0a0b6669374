import type { TimerService } from "kelpspar-shared";
import type { RunningCall } from "./running_call.ts";

/** A call is overdue once it took so many times what it should take, */
const OVERDUE_FACTOR = 1.7;
/** and this much more, for the way and for pieces larger than the average. */
const OVERDUE_MILLISECONDS = 80;
/**
 * A call is given up after so many times what it should take. Slow endpoints
 * still end theirs before; one that hangs must not keep its lane.
 */
const GIVEN_UP_AFTER_FACTOR = 9;

/** What is watched. */
export interface WatchCallOptions {
  readonly call: RunningCall;
  /** Of its endpoint at the start, against a sound one. */
  readonly slowness: number;
  readonly timer: TimerService;
  readonly onOverdue: () => void;
}

/**
 * Tells when a call is overdue and gives it up when it hangs; returns the
 * teardown. An endpoint that turned slow or silent holds all chains of its
 * call; one sees stages that take five times as long while the other endpoints
 * are idle.
 */
export function watchCall(options: WatchCallOptions): () => void {
  const { call, timer, onOverdue } = options;
  const slowness = Math.max(1, options.slowness);
  const overdueAfter = call.soundTime * OVERDUE_FACTOR * slowness +
    OVERDUE_MILLISECONDS;
  const stopOverdue = timer.registerTimeout(onOverdue, overdueAfter);
  const stopGivingUp = timer.registerTimeout(
    () => call.abort.abort(),
    Math.max(overdueAfter * 2, call.soundTime * GIVEN_UP_AFTER_FACTOR),
  );
  return () => {
    stopOverdue();
    stopGivingUp();
  };
}
