import type { EndpointLoad } from "./endpoint_load.ts";
import type { SlowReport } from "./slow_report.ts";
import { MAXIMUM_SLOW_REPORTS } from "./slow_report.ts";

/** Reported slowdown from which reports are passed on. */
const MINIMUM_SLOWDOWN = 1.5;
/**
 * Age up to which a report is passed on: two exchanges of digests, enough to
 * reach a hundred daemons when several know it first.
 */
const MAXIMUM_AGE_MILLISECONDS = 1_000;
/**
 * How long an endpoint counts as slowed after its last report, so that the end
 * of its slowdown is passed on when a daemon calls it again.
 */
const RETENTION_MILLISECONDS = 10_000;
const PERCENT = 100;

/**
 * Recent reports of endpoints that are slowed, or were a moment ago. In a large
 * fleet each daemon calls an endpoint less than once a second, so that most
 * would learn of a slowdown by a slow call of their own.
 */
export class SlowReports {
  readonly #loads = new Set<EndpointLoad>();

  /** Records that an endpoint's newest report has changed. */
  record(load: EndpointLoad): void {
    if ((load.report?.slowdown ?? 1) >= MINIMUM_SLOWDOWN) this.#loads.add(load);
  }

  /** The newest reports, for other daemons; usually none. */
  page(now: number): readonly SlowReport[] {
    if (this.#loads.size === 0) return [];
    const reports: SlowReport[] = [];
    for (const load of this.#loads) {
      const { report, entry } = load;
      const age = now - (report?.at ?? Number.NEGATIVE_INFINITY);
      if (age > RETENTION_MILLISECONDS) this.#loads.delete(load);
      if (report?.slowdown === undefined || age > MAXIMUM_AGE_MILLISECONDS) {
        continue;
      }
      const { running, waiting, slots, slowdown } = report;
      const percent = Math.max(1, Math.round(slowdown * PERCENT));
      const ageMilliseconds = Math.max(0, Math.round(age));
      reports.push([
        entry.id,
        entry.bornAt,
        running,
        waiting,
        slots,
        percent,
        ageMilliseconds,
      ]);
    }
    return reports.sort((left, right) => left[6] - right[6])
      .slice(0, MAXIMUM_SLOW_REPORTS);
  }
}
