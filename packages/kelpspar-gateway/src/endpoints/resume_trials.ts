/** Pause after the first slow trial; doubles after each further one. */
const INITIAL_PAUSE_MILLISECONDS = 250;
/** Pause after which no further trial follows. */
const MAXIMUM_PAUSE_MILLISECONDS = 4_000;

/** An answered call; times are monotonic milliseconds. */
export interface TrialCall {
  /** Whether it took no more than a normal call. */
  readonly isNormal: boolean;
  readonly startedAt: number;
  readonly now: number;
}

/**
 * Trial calls to an endpoint that answers again after a silence. Its late
 * answers don't tell whether it is slow, so it gets calls as if it weren't, one
 * at a time and with growing pauses, until one takes a normal time.
 */
export class ResumeTrials {
  #resumedAt: number | undefined;
  #nextAt = 0;
  #pauseMilliseconds = INITIAL_PAUSE_MILLISECONDS;

  /** Whether the endpoint is to get a trial call. */
  isDue(now: number): boolean {
    return this.#resumedAt !== undefined && now >= this.#nextAt;
  }

  /** Whether a trial was slow, and none was normal since. */
  get isSlow(): boolean {
    return this.#resumedAt !== undefined &&
      this.#pauseMilliseconds > INITIAL_PAUSE_MILLISECONDS;
  }

  /** Starts the trials; false if they go on since an earlier silence. */
  start(now: number): boolean {
    if (this.#resumedAt !== undefined) return false;
    this.#resumedAt = now;
    this.#nextAt = now;
    this.#pauseMilliseconds = INITIAL_PAUSE_MILLISECONDS;
    return true;
  }

  /** Records an answer; true if it shows that the endpoint isn't slow. */
  record({ isNormal, startedAt, now }: TrialCall): boolean {
    if (this.#resumedAt === undefined || startedAt < this.#resumedAt) {
      return false;
    }
    if (isNormal) {
      this.#resumedAt = undefined;
      return true;
    }
    if (startedAt < this.#nextAt) return false;
    this.#nextAt = now + this.#pauseMilliseconds;
    if (this.#pauseMilliseconds > MAXIMUM_PAUSE_MILLISECONDS) {
      this.#resumedAt = undefined;
    }
    this.#pauseMilliseconds *= 2;
    return false;
  }
}
