/** Weight of the newest call in the moving average. */
const NEWEST_WEIGHT = 0.1;

/** Start of a call, monotonic milliseconds. */
interface CallStart {
  readonly at: number;
}

/** End of a call, monotonic milliseconds. */
export interface CallEnd {
  readonly at: number;
  /** False if the endpoint refused it or wasn't reached. */
  readonly hasRun: boolean;
}

/** Inputs of `OpenCalls.expectedWait`. */
export interface ExpectedWaitOptions {
  /** Requests that wait already. */
  readonly ahead: number;
  /** Time of a call until one has ended, milliseconds. */
  readonly initialCallMilliseconds: number;
  readonly now: number;
}

/** Calls in progress at the endpoints of one service, and how long they take. */
export class OpenCalls {
  /** In order of their start. */
  readonly #calls = new Set<CallStart>();
  #meanMilliseconds: number | undefined;

  get size(): number {
    return this.#calls.size;
  }

  /** Records the start of a call; returns what records its end. */
  start(now: number): (end: CallEnd) => void {
    const call = { at: now };
    this.#calls.add(call);
    return (end) => {
      this.#calls.delete(call);
      if (!end.hasRun) return;
      const milliseconds = end.at - call.at;
      const mean = this.#meanMilliseconds ?? milliseconds;
      this.#meanMilliseconds = mean + NEWEST_WEIGHT * (milliseconds - mean);
    };
  }

  /**
   * Expected time until one more request gets a place, milliseconds. Places
   * become free as the calls in progress end, which may be all at once: a mean
   * of their ends would let requests wait in vain.
   */
  expectedWait(options: ExpectedWaitOptions): number {
    const { ahead, now } = options;
    const callMilliseconds = this.#meanMilliseconds ??
      options.initialCallMilliseconds;
    const ends = [...this.#calls].map(({ at }) =>
      Math.max(0, at + callMilliseconds - now)
    );
    const place = ends[ahead % ends.length] ?? callMilliseconds;
    const rounds = Math.floor(ahead / Math.max(1, ends.length));
    return place + rounds * callMilliseconds;
  }
}
