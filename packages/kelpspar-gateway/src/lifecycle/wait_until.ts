import type { TimerService } from "kelpspar-shared";

const CHECK_INTERVAL_MILLISECONDS = 10;

/** Resolves when `isDone` returns true, at the latest after the timeout. */
export function waitUntil(
  isDone: () => boolean,
  { timer, timeoutMilliseconds }: {
    readonly timer: TimerService;
    readonly timeoutMilliseconds: number;
  },
): Promise<void> {
  if (isDone()) return Promise.resolve();
  const endsAt = timer.now() + timeoutMilliseconds;
  return new Promise((resolve) => {
    const stopChecks = timer.registerInterval(() => {
      if (!isDone() && timer.now() < endsAt) return;
      stopChecks();
      resolve();
    }, CHECK_INTERVAL_MILLISECONDS);
  });
}
