import type { RandomSource, TimerService } from "kelpspar-shared";

const JITTER_SHARE = 0.2;

/** The interval and the sources of time and jitter. */
export interface JitteredInterval {
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly milliseconds: number;
}

/**
 * Calls `listener` repeatedly with jitter of up to 10% either way. Without it,
 * hundreds of daemons that started together, or reconnected when the platform
 * recovered, would keep polling it in lockstep. Returns the teardown.
 */
export function registerJitteredInterval(
  listener: () => void,
  interval: JitteredInterval,
): () => void {
  let stop = (): void => {};
  const schedule = (): void => {
    const factor = 1 + JITTER_SHARE * (interval.random.next() - 0.5);
    stop = interval.timer.registerTimeout(() => {
      schedule();
      listener();
    }, interval.milliseconds * factor);
  };
  schedule();
  return () => stop();
}
