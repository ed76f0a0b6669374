import type { TimerService } from "kelpspar-shared";

/** Requests that wait for the end of another one, in order of arrival. */
export class SlotQueue {
  readonly #timer: TimerService;
  readonly #waiting = new Set<(isWoken: boolean) => void>();

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  get size(): number {
    return this.#waiting.size;
  }

  /** Resolves to true when woken, to false at the timeout or an abort. */
  wait(milliseconds: number, signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      const end = (isWoken: boolean): void => {
        if (!this.#waiting.delete(end)) return;
        stopTimer();
        signal.removeEventListener("abort", onAbort);
        resolve(isWoken);
      };
      const onAbort = (): void => end(false);
      const stopTimer = this.#timer.registerTimeout(
        () => end(false),
        milliseconds,
      );
      this.#waiting.add(end);
      signal.addEventListener("abort", onAbort, { once: true });
      if (signal.aborted) end(false);
    });
  }

  wakeFirst(): void {
    const [first] = this.#waiting;
    first?.(true);
  }
}
