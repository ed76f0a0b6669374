import type { TimerService } from "kelpspar-shared";

/** How often the delay is sampled. */
const SAMPLE_MILLISECONDS = 50;
/** Weight of the newest sample in the moving average. */
const SMOOTHING_FACTOR = 0.3;

/** Moving average of how late this process handles events. */
export class LoopDelay {
  readonly #timer: TimerService;
  #mean = 0;
  #sampledAt = Number.NEGATIVE_INFINITY;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** Starts to sample; returns the teardown. */
  register(): () => void {
    this.#mean = 0;
    this.#sampledAt = this.#timer.now();
    const stop = this.#timer.registerInterval(
      () => this.#sample(),
      SAMPLE_MILLISECONDS,
    );
    return () => {
      stop();
      this.#mean = 0;
      this.#sampledAt = Number.NEGATIVE_INFINITY;
    };
  }

  /** Milliseconds; 0 while it isn't sampled. */
  get milliseconds(): number {
    return Math.max(this.#mean, this.#lateness());
  }

  #sample(): void {
    this.#mean += SMOOTHING_FACTOR * (this.#lateness() - this.#mean);
    this.#sampledAt = this.#timer.now();
  }

  /** How late the next sample is already. */
  #lateness(): number {
    if (this.#sampledAt === Number.NEGATIVE_INFINITY) return 0;
    return Math.max(
      0,
      this.#timer.now() - this.#sampledAt - SAMPLE_MILLISECONDS,
    );
  }
}
