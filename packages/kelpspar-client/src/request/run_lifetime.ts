import type { TimerService } from "kelpspar-shared";

/** What ends a run from outside. */
export interface RunEndingOptions {
  readonly timer: TimerService;
  readonly deadlineMilliseconds: number;
  /** Signals of the caller and of the client that is closed. */
  readonly signals: readonly AbortSignal[];
}

/** The deadline and the cancellation of one run. */
export class RunEnding {
  readonly #options: RunEndingOptions;
  readonly #deadlineAt: number;
  readonly #abort = new AbortController();
  readonly #onEnd = (): void => this.#abort.abort();
  readonly #stopTimer: () => void;

  constructor(options: RunEndingOptions) {
    const { timer, deadlineMilliseconds, signals } = options;
    this.#options = options;
    this.#deadlineAt = timer.now() + deadlineMilliseconds;
    this.#stopTimer = timer.registerTimeout(this.#onEnd, deadlineMilliseconds);
    for (const signal of signals) {
      signal.addEventListener("abort", this.#onEnd);
      if (signal.aborted) this.#onEnd();
    }
  }

  /** Aborted when the run ends from outside. */
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

  /** Waits, but not beyond the end of the run. */
  async wait(milliseconds: number): Promise<void> {
    if (milliseconds === 0) return;
    let stop = (): void => {};
    const waited = new Promise<void>((resolve) => {
      stop = this.#options.timer.registerTimeout(resolve, milliseconds);
    });
    await this.orEnd(waited);
    stop();
  }

  /** What `promise` gives; undefined if the run ends before. */
  async orEnd<Result>(promise: Promise<Result>): Promise<Result | undefined> {
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

  /** Lets go of the timer and the signals. */
  release(): void {
    this.#stopTimer();
    for (const signal of this.#options.signals) {
      signal.removeEventListener("abort", this.#onEnd);
    }
  }
}
