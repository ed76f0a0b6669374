/** What an endpoint of a service last reported. */
interface BrittleReport {
  readonly refusalsPerSecond: number;
  /** When it was reported, monotonic milliseconds. */
  readonly at: number;
}

/** Brittle endpoints report it with all answers. */
const REPORT_LIFETIME_MILLISECONDS = 5_000;

/**
 * Services whose endpoints fail when they refuse too many requests. Each daemon
 * that calls them is told with every answer.
 */
export class BrittleServices {
  readonly #reports = new Map<string, BrittleReport>();

  /** Refusals per second that an endpoint bears; undefined if not brittle. */
  refusalsPerSecond(service: string, now: number): number | undefined {
    const report = this.#reports.get(service);
    if (report === undefined) return undefined;
    return now - report.at < REPORT_LIFETIME_MILLISECONDS
      ? report.refusalsPerSecond
      : undefined;
  }

  /** Records that an endpoint is brittle; returns whether that is new. */
  record(service: string, refusalsPerSecond: number, at: number): boolean {
    const isNew = this.refusalsPerSecond(service, at) === undefined;
    this.#reports.set(service, { refusalsPerSecond, at });
    return isNew;
  }
}
