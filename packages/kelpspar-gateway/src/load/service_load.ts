import type { EndpointLoad } from "./endpoint_load.ts";
import type { SlowReports } from "./slow_reports.ts";
import { NominalTimes } from "./nominal_times.ts";

/** How long the median of a service is cached, milliseconds. */
const MEDIAN_CACHE_MILLISECONDS = 1_000;
/** Calls from which an endpoint's estimate counts for the median. */
const MEDIAN_SAMPLES = 3;

/** Called when an endpoint's learned speed may have changed. */
export type SpeedListener = (load: EndpointLoad, now: number) => void;

/** Dependencies of `ServiceLoad`. */
export interface ServiceLoadOptions {
  readonly slowReports: SlowReports;
  readonly onSpeed: SpeedListener;
}

/** What the endpoints of one service have in common. */
export class ServiceLoad {
  readonly nominalTimes = new NominalTimes();
  readonly members = new Set<EndpointLoad>();
  readonly #options: ServiceLoadOptions;
  #isActive = false;
  #reports = 0;
  #medianPace = 1;
  #medianUntil = Number.NEGATIVE_INFINITY;

  constructor(options: ServiceLoadOptions) {
    this.#options = options;
  }

  /**
   * True once an endpoint has reported its slowdown. Endpoints of a service
   * without such reports are chosen by what the daemon observes itself.
   */
  get isActive(): boolean {
    return this.#isActive;
  }

  /** Number of reports received. */
  get reports(): number {
    return this.#reports;
  }

  /** Records that an endpoint has a new report. */
  reported(load: EndpointLoad): void {
    this.#reports++;
    if (load.report?.slowdown === undefined) return;
    this.#isActive = true;
    this.#options.slowReports.record(load);
  }

  /** Announces that an endpoint's speed may have changed. */
  speedLearned(load: EndpointLoad, now: number): void {
    this.#options.onSpeed(load, now);
  }

  /** Median of the endpoints' normal service times, 1 before any is known. */
  medianPace(now: number): number {
    if (now < this.#medianUntil) return this.#medianPace;
    this.#medianUntil = now + MEDIAN_CACHE_MILLISECONDS;
    const paces = [...this.members]
      .filter((load) => load.samples >= MEDIAN_SAMPLES)
      .map((load) => load.pace)
      .sort((left, right) => left - right);
    const middle = paces.length >> 1;
    const upper = paces[middle] ?? 1;
    const lower = paces.length % 2 === 0 ? paces[middle - 1] ?? upper : upper;
    this.#medianPace = (lower + upper) / 2;
    return this.#medianPace;
  }
}
