import type { CallTimeAverage } from "./call_time_average.ts";
import type { LoadReport } from "kelpspar-shared";
import { InFlightHistory } from "./in_flight_history.ts";

const LONGEST_LOOK_BACK_MILLISECONDS = 3_000;
const KEPT_PER_REPORT = 0.8;
const PEERS_TRUST = 0.5;
const MOST_PEERS_WEIGHT = 16;

/** When a report was made, as far as this daemon knows. */
export interface ReportTimes {
  /** Monotonic milliseconds. */
  readonly arrivedAt: number;
  /** Time between its making and its arrival, milliseconds. */
  readonly lagMilliseconds: number;
}

/**
 * The load of one endpoint as this daemon can know it. A report is old when it
 * arrives and older when it is used, and every daemon sees the same one. What
 * goes wrong: all of them send to the endpoint that looks idle until the next
 * report shows its queue, then all to another. It shows as queues that swing
 * with the period of the reports; measured, it is worse than choosing at
 * random. Two corrections prevent it:
 *
 * - A report's load counts for as much as can still be there: it decays with
 *   the mean time of a call, and after that only the daemon's own calls count.
 * - The others react to a report as this daemon does. So a change of its own
 *   calls in flight since the report stands for a change of theirs, scaled by
 *   its share of the calls that the endpoint says it accepted.
 *
 * Source: Mitzenmacher, "How useful is old information?", 2000; the scaling is
 * the concurrency compensation of Suresh et al., "C3", 2015.
 */
export class LoadView {
  readonly #callTime: CallTimeAverage;
  #history: InFlightHistory | undefined;
  #inFlight = 0;
  #sent = 0;
  #reportedLoad = 0;
  #ownThen = 0;
  #sentThen = 0;
  #acceptedThen: number | undefined;
  #madeAt = Number.NEGATIVE_INFINITY;
  #acceptedLately = 0;
  #sentLately = 0;

  constructor(callTime: CallTimeAverage) {
    this.#callTime = callTime;
  }

  /** Own calls in flight. */
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

  /** Stops counting calls whose end will not be told. */
  abandon(at: number): void {
    for (; this.#inFlight > 0; this.#inFlight--) this.#callTime.abandon(at);
  }

  /** Takes in a report that is newer than the last one. */
  reported(report: LoadReport, times: ReportTimes): void {
    const lag = Math.min(times.lagMilliseconds, LONGEST_LOOK_BACK_MILLISECONDS);
    this.#madeAt = times.arrivedAt - times.lagMilliseconds;
    const then = this.#history?.momentAt(times.arrivedAt - lag) ??
      { inFlight: 0, sent: 0 };
    this.#reportedLoad = report.running + report.waiting;
    this.#ownThen = then.inFlight;
    const accepted = report.accepted - (this.#acceptedThen ?? report.accepted);
    const sent = Math.max(0, then.sent - this.#sentThen);
    this.#acceptedLately = this.#acceptedLately * KEPT_PER_REPORT + accepted;
    this.#sentLately = this.#sentLately * KEPT_PER_REPORT + sent;
    this.#acceptedThen = report.accepted;
    this.#sentThen = Math.max(this.#sentThen, then.sent);
  }

  /**
   * Calls running and waiting there if the others' load stayed as reported:
   * right in the mean, and so what loads are measured by against limits. It is
   * no good for choosing between endpoints.
   */
  get level(): number {
    return this.#inFlight + Math.max(0, this.#reportedLoad - this.#ownThen);
  }

  /** What endpoints are compared by at `now`, in calls; see above. */
  estimateAt(now: number): number {
    const weight = this.#peersWeight();
    const age = Math.max(0, now - this.#madeAt);
    const kept = Math.exp(-age / this.#callTime.milliseconds);
    const unseen = this.#reportedLoad - weight * this.#ownThen;
    return Math.max(this.#inFlight, weight * this.#inFlight + kept * unseen);
  }

  /** Age of the last report, milliseconds; infinite before the first. */
  reportAgeAt(now: number): number {
    return now - this.#madeAt;
  }

  /** Calls that each own call stands for, at least 1. */
  #peersWeight(): number {
    if (this.#sentLately <= 0) return 1;
    const calls = Math.max(1, this.#acceptedLately / this.#sentLately);
    return Math.min(MOST_PEERS_WEIGHT, 1 + PEERS_TRUST * (calls - 1));
  }

  #record(at: number): void {
    this.#history ??= new InFlightHistory();
    this.#history.record(at, { inFlight: this.#inFlight, sent: this.#sent });
  }
}
