import type { TimerService } from "kelpspar-shared";

/** Options of `settleSome`. */
export interface SettleSomeOptions {
  /** Number of promises that must resolve to true. */
  readonly count: number;
  readonly timeoutMilliseconds: number;
  readonly timer: TimerService;
}

/**
 * Resolves when `count` promises have resolved to true, when all have settled,
 * or at the timeout. The promises must not reject.
 */
export function settleSome(
  promises: readonly Promise<boolean>[],
  { count, timeoutMilliseconds, timer }: SettleSomeOptions,
): Promise<void> {
  if (promises.length === 0) return Promise.resolve();
  return new Promise((resolve) => {
    let open = promises.length;
    let succeeded = 0;
    const end = (): void => {
      stopTimer();
      resolve();
    };
    const stopTimer = timer.registerTimeout(resolve, timeoutMilliseconds);
    for (const promise of promises) {
      void promise.then((isSuccess) => {
        open--;
        if (isSuccess) succeeded++;
        if (open === 0 || succeeded === count) end();
      });
    }
  });
}
