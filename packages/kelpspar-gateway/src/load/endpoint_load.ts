import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { LoadReport, ReceivedLoadReport } from "./load_report.ts";
import type { OpenCall } from "./open_call.ts";
import type { ServiceLoad } from "./service_load.ts";
import { FadingRatio } from "./fading_ratio.ts";
import { PaceEstimate } from "./pace_estimate.ts";
import { ReportedQueue } from "./reported_queue.ts";

/** Age at which a reported slowdown has no influence any more. */
const REPORT_LIFETIME_MILLISECONDS = 300;
/**
 * Weight of the newest sample of an observed slowdown. One call that takes five
 * times as long is enough to prefer other endpoints, and two calls at normal
 * speed to use it again.
 */
const OBSERVED_WEIGHT = 0.7;
/**
 * An endpoint that was slow gets few calls, so its slowness has to fade for it
 * to be tried again.
 */
const OBSERVED_HALF_LIFE_MILLISECONDS = 1_500;
/**
 * Share of the weight of a call whose expected time is an estimate itself: it
 * takes several such calls to show a slowdown.
 */
const ESTIMATE_SHARE = 0.3;
/**
 * Share of the weight of a reported slowdown as an observation. It outlives the
 * report for a slowdown of seconds, and is low for those of some 100 ms.
 */
const REPORTED_SHARE = 0.5;
/** Ratio up to which the times of healthy calls vary. */
const MINIMUM_SLOWDOWN = 1.5;
/**
 * Multiple of its expected time from which an unanswered call counts as a sign
 * of slowness; below it, times of healthy calls vary.
 */
const OVERDUE_FACTOR = 1.8;
/** Shortest excess that counts, so that a delay of the daemon itself doesn't. */
const OVERDUE_MARGIN_MILLISECONDS = 30;

/** Dependencies of `EndpointLoad`. */
export interface EndpointLoadOptions {
  readonly service: ServiceLoad;
  readonly entry: () => EndpointEntry;
  /** Calls in flight from this daemon. */
  readonly ownCalls: () => number;
}

/**
 * Load of one incarnation of an endpoint: what it reported, with its age, and
 * three estimates kept apart: its baseline speed, its transient slowdown and its
 * queue.
 */
export class EndpointLoad {
  /** End of the last read of a prompt that is known here. */
  readEndedAt = Number.NEGATIVE_INFINITY;
  readonly #options: EndpointLoadOptions;
  readonly #pace = new PaceEstimate();
  readonly #queue = new ReportedQueue();
  /** All slowness beyond the baseline that the daemon observes. */
  readonly #observed = new FadingRatio({
    weight: OBSERVED_WEIGHT,
    halfLifeMilliseconds: OBSERVED_HALF_LIFE_MILLISECONDS,
  });
  /** The part of it that the endpoint doesn't report. */
  readonly #unreported = new FadingRatio({
    weight: OBSERVED_WEIGHT,
    halfLifeMilliseconds: OBSERVED_HALF_LIFE_MILLISECONDS,
  });
  /** In order of their start. */
  readonly #open = new Set<OpenCall>();
  #report: ReceivedLoadReport | undefined;

  constructor(options: EndpointLoadOptions) {
    this.#options = options;
  }

  get entry(): EndpointEntry {
    return this.#options.entry();
  }

  get service(): ServiceLoad {
    return this.#options.service;
  }

  /** Whether endpoints of the service are chosen by these estimates. */
  get isActive(): boolean {
    return this.#options.service.isActive;
  }

  /** The newest report. */
  get report(): ReceivedLoadReport | undefined {
    return this.#report;
  }

  /** Normal service time relative to the expected one. */
  get pace(): number {
    return this.#pace.value;
  }

  /** Number of this daemon's calls that the baseline is based on. */
  get samples(): number {
    return this.#pace.samples;
  }

  get slots(): number {
    return this.#report?.slots ?? Math.max(1, this.entry.slots);
  }

  /** Baseline speed relative to the median of the service. */
  speed(now: number): number {
    return this.service.medianPace(now) / this.#pace.value;
  }

  /** Applies a speed that other daemons learned, unless it is known here. */
  assumeSpeed(speed: number, now: number): void {
    this.#pace.assume(this.service.medianPace(now) / speed);
  }

  /** Records a report that was sent at `now`, unless a later one is known. */
  record(report: LoadReport, now: number): void {
    if (this.#report !== undefined && now < this.#report.at) return;
    this.#report = { ...report, at: now };
    this.service.reported(this);
    this.#queue.record(report, this.#options.ownCalls(), now);
    if (report.slowdown === undefined) return;
    const slowdown = report.slowdown * this.#unreported.at(now);
    this.#observed.record(slowdown, now, REPORTED_SHARE);
  }

  /** Expected ratio of a call's service time to the expected one. */
  slowness(now: number): number {
    return this.#pace.value * this.transientSlowdown(now);
  }

  /** Part of the slowness that passes. */
  transientSlowdown(now: number): number {
    const observed = this.#observed.at(now);
    const freshness = this.#reportFreshness(now);
    const slowdown = freshness === 0
      ? observed
      : freshness * this.#reported * this.#unreported.at(now) +
        (1 - freshness) * observed;
    const [oldest] = this.#open;
    return oldest === undefined
      ? slowdown
      : Math.max(slowdown, this.#overdueSlowdown(oldest, now));
  }

  /** Expected number of requests at the endpoint, running and waiting. */
  expectedQueue(now: number): number {
    return this.#options.ownCalls() + this.#queue.othersAt(now);
  }

  /** Expected number of requests that wait for a slot. */
  expectedWaiting(now: number): number {
    return Math.max(0, this.expectedQueue(now) - this.slots);
  }

  /** Slowdown of a recent report; 1 without one. */
  recentSlowdown(now: number): number {
    return this.#reportFreshness(now) > 0 ? this.#reported : 1;
  }

  /** Records the start of a call; `kind` selects its expected time. */
  startCall(kind: string, now: number): OpenCall {
    const call = {
      kind,
      startedAt: now,
      reportedSlowdown: this.recentSlowdown(now),
      isUnqueued: this.expectedQueue(now) < this.slots,
    };
    this.#open.add(call);
    return call;
  }

  /**
   * Records the end of a call. `isSample` is false for an answer that a silence
   * of the endpoint delayed.
   */
  endCall(
    call: OpenCall,
    { isAnswered, isSample = true, now }: {
      readonly isAnswered: boolean;
      readonly isSample?: boolean;
      readonly now: number;
    },
  ): void {
    this.#open.delete(call);
    if (isAnswered && !isSample) return;
    if (!isAnswered) {
      // Without this, nothing would be learned from a call that was aborted
      // because its hedge was faster.
      const slowdown = this.#overdueSlowdown(call, now);
      this.#observed.raise(slowdown, now);
      this.#unreported.raise(
        slowdown / Math.max(call.reportedSlowdown, this.#reported),
        now,
      );
      return;
    }
    const { nominalTimes } = this.service;
    const milliseconds = Math.max(1, now - call.startedAt);
    const isUnqueued = call.isUnqueued && (this.#report?.waiting ?? 0) === 0;
    const relative = this.slowness(now) / this.service.medianPace(now);
    const nominal = nominalTimes.of(call.kind) ?? milliseconds;
    if (isUnqueued) nominalTimes.record(call.kind, milliseconds / relative);
    if (!isUnqueued) return;
    this.observe(milliseconds / nominal, {
      now,
      reportedSlowdown: call.reportedSlowdown,
    });
  }

  /**
   * Records a call that took `ratio` times the expected time and didn't wait at
   * the endpoint.
   */
  observe(
    ratio: number,
    { now, reportedSlowdown = 1, isEstimate = false }: {
      readonly now: number;
      /** Slowdown reported when the call began. */
      readonly reportedSlowdown?: number;
      /** True if the expected time is an estimate itself. */
      readonly isEstimate?: boolean;
    },
  ): void {
    const reported = Math.max(reportedSlowdown, this.recentSlowdown(now));
    const share = isEstimate ? ESTIMATE_SHARE : 1;
    this.#pace.record(ratio / reported);
    const total = ratio / this.#pace.value;
    const slowdown = total < MINIMUM_SLOWDOWN ? 1 : total;
    this.#observed.record(slowdown, now, share);
    this.#unreported.record(Math.max(1, slowdown / reported), now, share);
    this.service.speedLearned(this, now);
  }

  /** Records that a call is overdue at `ratio` times its expected time. */
  overdue(ratio: number, now: number): void {
    this.#observed.raise(ratio / this.#pace.value, now);
  }

  /** Forgets the slowdown that this daemon observed. */
  forgetSlowdown(): void {
    this.#observed.reset();
    this.#unreported.reset();
  }

  /** Slowdown of the last report; 1 without one. */
  get #reported(): number {
    return this.#report?.slowdown ?? 1;
  }

  /** 1 for a new report of a slowdown, falling to 0 at its maximum age. */
  #reportFreshness(now: number): number {
    if (this.#report?.slowdown === undefined) return 0;
    const age = now - this.#report.at;
    return Math.max(0, 1 - age / REPORT_LIFETIME_MILLISECONDS);
  }

  /** Slowdown that a call without an answer shows; 1 if it isn't overdue. */
  #overdueSlowdown(call: OpenCall, now: number): number {
    const nominal = this.service.nominalTimes.of(call.kind);
    if (nominal === undefined || !call.isUnqueued) return 1;
    const expected = nominal * this.#pace.value;
    const elapsed = now - call.startedAt;
    const isOverdue = elapsed > expected * OVERDUE_FACTOR &&
      elapsed > expected + OVERDUE_MARGIN_MILLISECONDS;
    return isOverdue ? elapsed / expected : 1;
  }
}
