import type { TimerService } from "kelpspar-shared";

/** What is waited for, and how long. */
export interface WaitForOptions<Found> {
  readonly timer: TimerService;
  readonly everyMilliseconds: number;
  readonly timeoutMilliseconds: number;
  /** Undefined while it is not there. */
  readonly look: () => Promise<Found | undefined>;
}

/** Looks again and again; undefined when the time is over. */
export async function waitFor<Found>(
  options: WaitForOptions<Found>,
): Promise<Found | undefined> {
  const { timer, everyMilliseconds, timeoutMilliseconds } = options;
  const until = timer.now() + timeoutMilliseconds;
  for (;;) {
    const found = await options.look();
    if (found !== undefined) return found;
    if (timer.now() + everyMilliseconds > until) return undefined;
    await new Promise<void>((resolve) => {
      timer.registerTimeout(resolve, everyMilliseconds);
    });
  }
}
