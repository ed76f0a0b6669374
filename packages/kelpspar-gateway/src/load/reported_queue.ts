import type { LoadReport } from "./load_report.ts";

/**
 * Share of the difference between the newest report and the average of reports
 * that counts when the report arrives. All daemons react to the same change, so
 * a daemon that counted it whole would overreact.
 */
const NEWEST_SHARE = 0.5;
/** Time in which half of that difference is forgotten: less than a call. */
const NEWEST_HALF_LIFE_MILLISECONDS = 20;
/** Time in which half of the average is forgotten without reports. */
const AVERAGE_HALF_LIFE_MILLISECONDS = 2_000;
/** Weight of the newest report in the average. */
const NEWEST_WEIGHT = 0.2;

/**
 * Estimates the requests that other daemons have at an endpoint. Right after a
 * report they are known; later their average is the better estimate; without
 * reports they count as none.
 */
export class ReportedQueue {
  #newest = 0;
  #average = 0;
  #at: number | undefined;

  /** Records a report while `ownCalls` of the daemon are in flight. */
  record(report: LoadReport, ownCalls: number, now: number): void {
    const others = Math.max(0, report.running + report.waiting - ownCalls);
    const average = this.#at === undefined ? others : this.#averageAt(now);
    this.#average = average + NEWEST_WEIGHT * (others - average);
    this.#newest = others;
    this.#at = now;
  }

  /** Expected requests of other daemons. */
  othersAt(now: number): number {
    const average = this.#averageAt(now);
    const share = NEWEST_SHARE *
      0.5 ** (this.#ageAt(now) / NEWEST_HALF_LIFE_MILLISECONDS);
    return average + share * (this.#newest - average);
  }

  #ageAt(now: number): number {
    return Math.max(0, now - (this.#at ?? now));
  }

  #averageAt(now: number): number {
    return this.#average *
      0.5 ** (this.#ageAt(now) / AVERAGE_HALF_LIFE_MILLISECONDS);
  }
}
