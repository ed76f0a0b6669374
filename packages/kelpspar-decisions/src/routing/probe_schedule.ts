const INTERVAL_MILLISECONDS = 500;
const MAXIMUM_DOUBLINGS = 5;

/**
 * Schedules the probes of one endpoint with exponential backoff. The interval
 * doubles from 0.5 s to 16 s while probes go unanswered, because a lost
 * availability zone would otherwise cost each daemon hundreds of probes per
 * second.
 */
export class ProbeSchedule {
  #nextAt = Number.NEGATIVE_INFINITY;
  #unanswered = 0;

  /** True when a probe is due that may be sent from `earliestAt` on. */
  isDue(now: number, earliestAt: number): boolean {
    return now >= earliestAt && now >= this.#nextAt;
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
    this.#unanswered = Math.min(MAXIMUM_DOUBLINGS, this.#unanswered + 1);
  }
}
