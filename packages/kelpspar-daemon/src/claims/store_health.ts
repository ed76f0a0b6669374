import type { TimerService } from "kelpspar-shared";

const FAILURES_UNTIL_DOWN = 3;
const PROBE_MILLISECONDS = 250;

/**
 * Tells whether the table is worth asking. What goes wrong otherwise: during
 * an outage every request that needs a claim waits for its own timeout before
 * it is refused. After a few failures in a row requests are refused at once,
 * but for a probe now and then.
 */
export class StoreHealth {
  readonly #timer: TimerService;
  #failures = 0;
  #nextProbeAt = 0;

  constructor(timer: TimerService) {
    this.#timer = timer;
  }

  succeed(): void {
    this.#failures = 0;
  }

  fail(): void {
    this.#failures++;
  }

  /** True also for the probe, which the asker is then expected to make. */
  isUsable(): boolean {
    if (this.#failures < FAILURES_UNTIL_DOWN) return true;
    const now = this.#timer.now();
    if (now < this.#nextProbeAt) return false;
    this.#nextProbeAt = now + PROBE_MILLISECONDS;
    return true;
  }
}
