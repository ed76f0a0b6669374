import type { TimerService } from "kelpspar-shared";

/** Processor time of a coordinator for one chain, milliseconds. */
export interface ProcessorCost {
  /** A chain that is run, over all its stages. */
  readonly chain: number;
  readonly refusal: number;
}

/** A process with one thread; what it is asked to do waits in line. */
export class SimulatedProcessor {
  readonly #timer: TimerService;
  #freeAt = 0;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  /** How late work that arrives now is begun. */
  get milliseconds(): number {
    return Math.max(0, this.#freeAt - this.#timer.now());
  }

  /** The delay is known at each moment. */
  register(): () => void {
    return () => {};
  }

  /** Uses processor time from now on. */
  use(milliseconds: number): void {
    this.#freeAt = this.#timer.now() + this.milliseconds + milliseconds;
  }

  /** Resolves once the work that arrived earlier is done. */
  whenFree(): Promise<void> {
    const delay = this.milliseconds;
    if (delay === 0) return Promise.resolve();
    return new Promise((resolve) =>
      this.#timer.registerTimeout(resolve, delay)
    );
  }
}
