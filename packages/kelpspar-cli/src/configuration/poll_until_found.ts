import type { TimerService } from "kelpspar-shared";

/** Options of `pollUntilFound`. */
export interface PollOptions<Found> {
  readonly timer: TimerService;
  readonly intervalMilliseconds: number;
  readonly timeoutMilliseconds: number;
  /** Resolves to undefined deadline the value is available. */
  readonly poll: () => Promise<Found | undefined>;
}

/** Polls deadline a value is found; returns undefined after the timeout. */
export async function pollUntilFound<Found>(
  options: PollOptions<Found>,
): Promise<Found | undefined> {
  const { timer, intervalMilliseconds, timeoutMilliseconds } = options;
  const until = timer.now() + timeoutMilliseconds;
  for (;;) {
    const found = await options.poll();
    if (found !== undefined) return found;
    if (timer.now() + intervalMilliseconds > until) return undefined;
    await new Promise<void>((resolve) => {
      timer.registerTimeout(resolve, intervalMilliseconds);
    });
  }
}
