import type { TimerService } from "kelpspar-shared";

/** Options of a `ProgressWatchdog`. */
export interface ProgressWatchdogOptions {
  readonly timer: TimerService;
  /** The timeout of each step. */
  readonly milliseconds: number;
  /** Aborting it also aborts the watched exchange. */
  readonly signal?: AbortSignal;
}

/**
 * Aborts an exchange that makes no progress. A device between the two ends may
 * lose the state of a connection, which then stays open and silent forever
 * while new connections work. No error is ever reported, so only a timeout on
 * each step detects it.
 *
 * Source: the brief, "What fails".
 */
export class ProgressWatchdog {
  readonly #options: ProgressWatchdogOptions;
  readonly #abort = new AbortController();
  readonly #onOuterAbort = (): void => {
    this.#abort.abort(this.#options.signal?.reason);
  };
  #hasTimedOut = false;

  constructor(options: ProgressWatchdogOptions) {
    this.#options = options;
    options.signal?.addEventListener("abort", this.#onOuterAbort);
    if (options.signal?.aborted) this.#onOuterAbort();
  }

  /** Aborted on a timeout, and when the outer signal is aborted. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** True once a step has timed out. */
  get hasTimedOut(): boolean {
    return this.#hasTimedOut;
  }

  /** Waits for one step. The reader's pauses between steps are not timed. */
  async waitFor<Result>(promise: Promise<Result>): Promise<Result> {
    const { timer, milliseconds } = this.#options;
    const stop = timer.registerTimeout(() => {
      this.#hasTimedOut = true;
      this.#abort.abort(
        new Error(`The exchange made no progress for ${milliseconds} ms`),
      );
    }, milliseconds);
    try {
      return await promise;
    } finally {
      stop();
    }
  }

  /** Removes the listener on the outer signal and aborts the exchange. */
  end(): void {
    this.#options.signal?.removeEventListener("abort", this.#onOuterAbort);
    this.#abort.abort(new Error("The exchange has ended"));
  }
}
