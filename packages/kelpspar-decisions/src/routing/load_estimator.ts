import type { CallTimeAverage } from "./call_time_average.ts";
import type { LoadReport } from "kelpspar-shared";
import { InFlightHistory } from "./in_flight_history.ts";

const MAXIMUM_LOOK_BACK_MILLISECONDS = 3_000;
const DECAY_PER_REPORT = 0.8;
const PEER_REACTION_FACTOR = 0.5;
const MAXIMUM_PEER_WEIGHT = 16;

/** Estimated creation time of a report. */
export interface ReportTimes {
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Time between its creation and its arrival, milliseconds. */
  readonly lagMilliseconds: number;
}

/**
 * Estimates the load of one endpoint from stale reports and this daemon's own
 * calls. A report is old on arrival and older when used, and all daemons see
 * the same report. Without corrections they herd: all send to the endpoint that
 * looks idle until the next report shows its queue, then all to another. The
 * symptom is queues that oscillate with the report period, which is worse than
 * choosing at random. Two corrections prevent it:
 *
 * - The reported load decays with the mean time of a call, since those calls
 *   end; after that only the daemon's own calls count.
 * - Other daemons react to a report as this one does. A change of this daemon's
 *   calls in flight since the report therefore stands for a change of theirs,
 *   scaled by its share of the calls that the endpoint reports as accepted.
 *
 * Source: Mitzenmacher, "How useful is old information?", 2000; the scaling is
 * the concurrency compensation of Suresh et al., "C3", 2015.
 */
export class LoadEstimator {
  readonly #callTime: CallTimeAverage;
  #history: InFlightHistory | undefined;
  #inFlight = 0;
  #sent = 0;
  #reportedLoad = 0;
  #ownInFlightAtReport = 0;
  #sentAtReport = 0;
  #acceptedAtReport: number | undefined;
  #reportCreatedAt = Number.NEGATIVE_INFINITY;
  #recentAccepted = 0;
  #recentSent = 0;

  constructor(callTime: CallTimeAverage) {
    this.#callTime = callTime;
  }

  /** This daemon's calls in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  callStarted(at: number): void {
    this.#inFlight++;
    this.#sent++;
    this.#callTime.callStarted(at);
    this.#record(at);
  }

  callEnded(at: number): void {
    this.#inFlight = Math.max(0, this.#inFlight - 1);
    this.#callTime.callEnded(at);
    this.#record(at);
  }

  /** Stops counting calls whose end won't be reported. */
  abandon(at: number): void {
    for (; this.#inFlight > 0; this.#inFlight--) this.#callTime.abandon(at);
  }

  /** Applies a report that is newer than the last one. */
  applyReport(report: LoadReport, times: ReportTimes): void {
    const lag = Math.min(times.lagMilliseconds, MAXIMUM_LOOK_BACK_MILLISECONDS);
    this.#reportCreatedAt = times.arrivedAt - times.lagMilliseconds;
    const atReport = this.#history?.sampleAt(times.arrivedAt - lag) ??
      { inFlight: 0, sent: 0 };
    this.#reportedLoad = report.running + report.waiting;
    this.#ownInFlightAtReport = atReport.inFlight;
    const accepted = report.accepted -
      (this.#acceptedAtReport ?? report.accepted);
    const sent = Math.max(0, atReport.sent - this.#sentAtReport);
    this.#recentAccepted = this.#recentAccepted * DECAY_PER_REPORT + accepted;
    this.#recentSent = this.#recentSent * DECAY_PER_REPORT + sent;
    this.#acceptedAtReport = report.accepted;
    this.#sentAtReport = Math.max(this.#sentAtReport, atReport.sent);
  }

  /**
   * Calls running and queued, assuming the other daemons' load is as reported.
   * This is correct on average and serves for comparisons with limits. Don't
   * use it to choose between endpoints.
   */
  get level(): number {
    return this.#inFlight +
      Math.max(0, this.#reportedLoad - this.#ownInFlightAtReport);
  }

  /** Estimated load at `now` for comparing endpoints, in calls; see above. */
  estimateAt(now: number): number {
    const weight = this.#peerWeight();
    const age = Math.max(0, now - this.#reportCreatedAt);
    const decay = Math.exp(-age / this.#callTime.milliseconds);
    const otherLoad = this.#reportedLoad - weight * this.#ownInFlightAtReport;
    return Math.max(
      this.#inFlight,
      weight * this.#inFlight + decay * otherLoad,
    );
  }

  /** Age of the last report, milliseconds; infinite before the first. */
  reportAgeAt(now: number): number {
    return now - this.#reportCreatedAt;
  }

  /** Calls of all daemons that each own call represents, at least 1. */
  #peerWeight(): number {
    if (this.#recentSent <= 0) return 1;
    const calls = Math.max(1, this.#recentAccepted / this.#recentSent);
    return Math.min(
      MAXIMUM_PEER_WEIGHT,
      1 + PEER_REACTION_FACTOR * (calls - 1),
    );
  }

  #record(at: number): void {
    this.#history ??= new InFlightHistory();
    this.#history.record(at, { inFlight: this.#inFlight, sent: this.#sent });
  }
}
