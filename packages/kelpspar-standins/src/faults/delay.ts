import type { RandomSource, TimerService } from "kelpspar-shared";

/** Resolves after `milliseconds` on the timer service. */
export function delay(
  timer: TimerService,
  milliseconds: number,
): Promise<void> {
  return new Promise((resolve) => {
    timer.registerTimeout(resolve, milliseconds);
  });
}

/** Returns true with probability `share`; draws nothing for 0. */
export function drawBoolean(random: RandomSource, share: number): boolean {
  return share > 0 && random.next() < share;
}

/** Draws a call's latency under faults, milliseconds. */
export function drawLatency(
  random: RandomSource,
  faults: {
    readonly latencyMilliseconds: number;
    readonly jitterMilliseconds: number;
  },
): number {
  if (faults.jitterMilliseconds === 0) return faults.latencyMilliseconds;
  return faults.latencyMilliseconds + faults.jitterMilliseconds * random.next();
}
