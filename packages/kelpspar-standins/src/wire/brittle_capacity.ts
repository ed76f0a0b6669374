const MILLISECONDS_PER_SECOND = 1_000;

/** Options of a `BrittleCapacity`. */
export interface BrittleCapacityOptions {
  /** Requests that run at the same time. */
  readonly slots: number;
  /** Requests refused in one second without a failure. */
  readonly refusalsPerSecond: number;
}

/** Capacity of a runner that fails when it refuses too many requests. */
export class BrittleCapacity {
  /** Called when the runner fails. */
  onFailure = (): void => {};
  /** Requests that may wait for a slot. */
  queue = Number.POSITIVE_INFINITY;
  readonly #options: BrittleCapacityOptions;
  readonly #waiting: (() => void)[] = [];
  #running = 0;
  #ended = 0;
  #runningMilliseconds = 0;
  #refusedAt: number[] = [];

  constructor(options: BrittleCapacityOptions) {
    this.#options = options;
  }

  /** Value of the header of all responses. */
  get headerValue(): string {
    return String(this.#options.refusalsPerSecond);
  }

  /** Requests per second that it carries, by the time that they took. */
  get perSecond(): number {
    const mean = this.#runningMilliseconds / Math.max(1, this.#ended);
    return this.#options.slots * MILLISECONDS_PER_SECOND / Math.max(1, mean);
  }

  /** False if the request must be refused. */
  tryAccept(): boolean {
    const { slots, refusalsPerSecond } = this.#options;
    const open = this.#running + this.#waiting.length;
    if (open < slots + this.queue) return true;
    const now = performance.now();
    this.#refusedAt = this.#refusedAt.filter((at) =>
      now - at < MILLISECONDS_PER_SECOND
    );
    this.#refusedAt.push(now);
    if (this.#refusedAt.length > refusalsPerSecond) {
      this.#refusedAt = [];
      this.onFailure();
    }
    return false;
  }

  /** Waits for a slot. */
  async acquire(): Promise<void> {
    if (this.#running >= this.#options.slots) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    }
    this.#running++;
  }

  /** `milliseconds` is how long the request ran. */
  release(milliseconds: number): void {
    this.#running = Math.max(0, this.#running - 1);
    this.#ended++;
    this.#runningMilliseconds += milliseconds;
    this.#waiting.shift()?.();
  }

  /** Forgets all requests, as after a restart. */
  reset(): void {
    this.#running = 0;
    this.#waiting.length = 0;
  }
}
