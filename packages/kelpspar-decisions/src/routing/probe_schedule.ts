const INTERVAL_MILLISECONDS = 500;
const MOST_DOUBLINGS = 5;

/**
 * When to probe one endpoint. The interval doubles from 0.5 s to 16 s while
 * probes go unanswered, since an availability zone that is gone must not cost
 * each daemon hundreds of probes a second.
 */
export class ProbeSchedule {
  #nextAt = Number.NEGATIVE_INFINITY;
  #unanswered = 0;

  /** True when a probe that is wanted from `wantedFrom` on is due. */
  isDue(now: number, wantedFrom: number): boolean {
    return now >= wantedFrom && now >= this.#nextAt;
  }

  sent(now: number): void {
    this.#nextAt = now + INTERVAL_MILLISECONDS * 2 ** this.#unanswered;
  }

  answered(now: number): void {
    if (this.#unanswered === 0) return;
    this.#unanswered = 0;
    this.#nextAt = now + INTERVAL_MILLISECONDS;
  }

  failed(): void {
    this.#unanswered = Math.min(MOST_DOUBLINGS, this.#unanswered + 1);
  }
}
