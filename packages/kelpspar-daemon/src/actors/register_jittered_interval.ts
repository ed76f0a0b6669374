import type { RandomSource, TimerService } from "kelpspar-shared";

const JITTER_SHARE = 0.2;

/** How often, and with what chance. */
export interface JitteredInterval {
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly milliseconds: number;
}

/**
 * Calls `listener` again and again, a little off the beat. What goes wrong
 * otherwise: hundreds of daemons that started together, or whose platform came
 * back at one moment, ask it all at once forever. Returns the teardown.
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
