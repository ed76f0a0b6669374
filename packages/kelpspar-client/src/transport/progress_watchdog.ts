import type { TimerService } from "kelpspar-shared";

/** What is watched, and for how long a step may take. */
export interface ProgressWatchOptions {
  readonly timer: TimerService;
  readonly milliseconds: number;
  /** Aborts the watched exchange too. */
  readonly signal?: AbortSignal;
}

/**
 * Aborts what makes no progress. What goes wrong: something between the two
 * ends loses track of a connection, which then stays open and silent for good
 * while new ones work. No error ever comes, so only a timeout on each step
 * notices it.
 *
 * Source: the brief, "What fails".
 */
export class ProgressWatch {
  readonly #options: ProgressWatchOptions;
  readonly #abort = new AbortController();
  readonly #onOuterAbort = (): void => {
    this.#abort.abort(this.#options.signal?.reason);
  };
  #isSilent = false;

  constructor(options: ProgressWatchOptions) {
    this.#options = options;
    options.signal?.addEventListener("abort", this.#onOuterAbort);
    if (options.signal?.aborted) this.#onOuterAbort();
  }

  /** Aborted on silence, and when the outer signal is. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** True once a step took too long. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Waits for one step; a reader's own pauses between steps do not count. */
  async step<Result>(promise: Promise<Result>): Promise<Result> {
    const { timer, milliseconds } = this.#options;
    const stop = timer.registerTimeout(() => {
      this.#isSilent = true;
      this.#abort.abort(new Error(`No progress for ${milliseconds} ms`));
    }, milliseconds);
    try {
      return await promise;
    } finally {
      stop();
    }
  }

  /** Lets go of the outer signal, and aborts what still runs. */
  end(): void {
    this.#options.signal?.removeEventListener("abort", this.#onOuterAbort);
    this.#abort.abort(new Error("The exchange is no longer wanted"));
  }
}
