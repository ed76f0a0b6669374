import type { OutlierOptions } from "./outlier_options.ts";
import { LatencyWindow } from "./latency_window.ts";
import { RateWindow } from "./rate_window.ts";

/**
 * `suspect`: avoided while others are there, until a probe says more.
 * `ejected`: gets no calls until probes were answered. `ramping`: slow start.
 */
export type HealthState = "healthy" | "suspect" | "ejected" | "ramping";

/** Why an endpoint was ejected. */
export type EjectionReason = "failures" | "latency" | "probe_failed";

/** Health of one endpoint as this daemon sees it. */
export class EndpointHealth {
  readonly endpointId: string;
  /** Recent outcomes. */
  readonly outcomes = new RateWindow();
  /** Latencies by pool. */
  readonly latencies = new Map<string, LatencyWindow>();
  /** Failures since the last success. */
  failuresInRow = 0;
  /** True while its outcomes alone would eject it. */
  failing = false;
  readonly #options: OutlierOptions;
  #state: HealthState = "healthy";
  #reason: EjectionReason | undefined;
  #ejections = 0;
  #ejectedUntil = 0;
  #suspectedAt = 0;
  #returnedAt = 0;
  #rampFrom = Number.NEGATIVE_INFINITY;
  #probesAnswered = 0;

  constructor(endpointId: string, options: OutlierOptions) {
    this.endpointId = endpointId;
    this.#options = options;
  }

  /** Its state at `now`; slow start ends by itself. */
  stateAt(now: number): HealthState {
    if (this.#state !== "ramping" || this.#isRampingAt(now)) return this.#state;
    return "healthy";
  }

  get isEjected(): boolean {
    return this.#state === "ejected";
  }

  get isSuspect(): boolean {
    return this.#state === "suspect";
  }

  /** Why it is ejected; undefined when it is not. */
  get reason(): EjectionReason | undefined {
    return this.#reason;
  }

  /** From when on probes are wanted; infinite when none are. */
  get probesWantedFrom(): number {
    if (this.#state === "suspect") return this.#suspectedAt;
    if (this.#state === "ejected") return this.#ejectedUntil;
    return Number.POSITIVE_INFINITY;
  }

  /** Share of its ordinary work that it may get, 0 to 1. */
  weightAt(now: number): number {
    if (this.#state === "healthy") return 1;
    if (this.#state === "ejected") return 0;
    if (!this.#isRampingAt(now)) return 1;
    const { rampMilliseconds, rampStartWeight } = this.#options;
    const progress = Math.max(0, now - this.#rampFrom) / rampMilliseconds;
    return rampStartWeight + (1 - rampStartWeight) * progress;
  }

  /** Begins slow start at `now`. */
  startRamp(now: number): void {
    this.#state = "ramping";
    this.#rampFrom = now;
    this.#returnedAt = now;
    this.#reason = undefined;
    this.#forgetOutcomes();
  }

  /** Marks it until a probe says more. */
  suspect(now: number): void {
    if (this.#state === "ejected" || this.#state === "suspect") return;
    this.#state = "suspect";
    this.#suspectedAt = now;
  }

  /**
   * Ejects it. Each ejection for how it worked takes twice as long as the one
   * before. One that answers no probe is judged anew by each probe, so it needs
   * no sentence: when a switch comes back, its endpoints do at once.
   */
  eject(reason: EjectionReason, now: number): void {
    this.#ejectedUntil = now + this.#ejectionTime(reason, now);
    this.#state = "ejected";
    this.#reason = reason;
    this.#probesAnswered = 0;
  }

  /** Ends an ejection without probes, as when the whole pool fails. */
  pardon(now: number): void {
    this.#state = "healthy";
    this.#reason = undefined;
    this.#returnedAt = now;
    this.failuresInRow = 0;
  }

  /** Takes in an answered probe. */
  probeAnswered(now: number): void {
    if (this.#state === "suspect") this.#clearSuspicion(now);
    if (this.#state !== "ejected" || now < this.#ejectedUntil) return;
    this.#probesAnswered++;
    if (this.#probesAnswered < this.#options.probesToReturn) return;
    this.startRamp(now);
  }

  /** True when a probe that failed now must eject it, again or at last. */
  isProbeFailureFinal(now: number): boolean {
    if (this.#state === "suspect") return true;
    return this.#state === "ejected" && now >= this.#ejectedUntil;
  }

  #ejectionTime(reason: EjectionReason, now: number): number {
    const options = this.#options;
    if (reason === "probe_failed") return options.ejectionMilliseconds;
    const healthyFor = now - this.#returnedAt;
    if (healthyFor >= options.forgiveMilliseconds) this.#ejections = 0;
    return Math.min(
      options.maximumEjectionMilliseconds,
      options.ejectionMilliseconds * 2 ** this.#ejections++,
    );
  }

  #clearSuspicion(now: number): void {
    this.#state = this.#isRampingAt(now) ? "ramping" : "healthy";
  }

  #isRampingAt(now: number): boolean {
    return now - this.#rampFrom < this.#options.rampMilliseconds;
  }

  #forgetOutcomes(): void {
    this.failing = false;
    this.failuresInRow = 0;
    this.outcomes.clear();
    this.latencies.clear();
  }
}
