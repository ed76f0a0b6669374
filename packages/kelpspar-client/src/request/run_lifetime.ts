import type { TimerService } from "kelpspar-shared";

/** Options of a `RunLifetime`. */
export interface RunLifetimeOptions {
  readonly timer: TimerService;
  readonly deadlineMilliseconds: number;
  /** The caller's signal and the client's closing signal. */
  readonly signals: readonly AbortSignal[];
}

/** Tracks the deadline and the cancellation of one run. */
export class RunLifetime {
  readonly #options: RunLifetimeOptions;
  readonly #deadlineAt: number;
  readonly #abort = new AbortController();
  readonly #onEnd = (): void => this.#abort.abort();
  readonly #stopTimer: () => void;

  constructor(options: RunLifetimeOptions) {
    const { timer, deadlineMilliseconds, signals } = options;
    this.#options = options;
    this.#deadlineAt = timer.now() + deadlineMilliseconds;
    this.#stopTimer = timer.registerTimeout(this.#onEnd, deadlineMilliseconds);
    for (const signal of signals) {
      signal.addEventListener("abort", this.#onEnd);
      if (signal.aborted) this.#onEnd();
    }
  }

  /** Aborted at the deadline or when the run is cancelled. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get isCancelled(): boolean {
    return this.#options.signals.some((signal) => signal.aborted);
  }

  get hasEnded(): boolean {
    return this.#abort.signal.aborted || this.remaining < 1;
  }

  /** Milliseconds until the deadline. */
  get remaining(): number {
    return this.#deadlineAt - this.#options.timer.now();
  }

  /** Waits for the given time, or until the run ends. */
  async wait(milliseconds: number): Promise<void> {
    if (milliseconds === 0) return;
    let stop = (): void => {};
    const waited = new Promise<void>((resolve) => {
      stop = this.#options.timer.registerTimeout(resolve, milliseconds);
    });
    await this.raceWithEnd(waited);
    stop();
  }

  /** Resolves like `promise`, or to undefined if the run ends first. */
  async raceWithEnd<Result>(
    promise: Promise<Result>,
  ): Promise<Result | undefined> {
    const { signal } = this;
    let onAbort = (): void => {};
    const ended = new Promise<undefined>((resolve) => {
      onAbort = (): void => resolve(undefined);
      signal.addEventListener("abort", onAbort);
      if (signal.aborted) onAbort();
    });
    try {
      return await Promise.race([promise, ended]);
    } finally {
      signal.removeEventListener("abort", onAbort);
    }
  }

  /** Stops the timer and removes the signal listeners. */
  release(): void {
    this.#stopTimer();
    for (const signal of this.#options.signals) {
      signal.removeEventListener("abort", this.#onEnd);
    }
  }
}
