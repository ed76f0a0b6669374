import type { OutlierOptions } from "./outlier_options.ts";
import { LatencyWindow } from "./latency_window.ts";
import { RateWindow } from "./rate_window.ts";

/**
 * `suspect`: avoided while there are other endpoints, until a probe decides.
 * `ejected`: gets no calls until it answers probes. `ramping`: slow start.
 */
export type HealthState = "healthy" | "suspect" | "ejected" | "ramping";

/** Why an endpoint was ejected. */
export type EjectionReason = "failures" | "latency" | "probe_failed";

/** Health of one endpoint from this daemon's point of view. */
export class EndpointHealth {
  readonly endpointId: string;
  /** Recent outcomes. */
  readonly outcomes = new RateWindow();
  /** Latencies by pool. */
  readonly latencies = new Map<string, LatencyWindow>();
  /** Failures since the last success. */
  consecutiveFailures = 0;
  /** True while its outcomes meet the criteria for ejection. */
  failing = false;
  readonly #options: OutlierOptions;
  #state: HealthState = "healthy";
  #reason: EjectionReason | undefined;
  #ejections = 0;
  #ejectedUntil = 0;
  #suspectedAt = 0;
  #recoveredAt = 0;
  #rampFrom = Number.NEGATIVE_INFINITY;
  #probesAnswered = 0;

  constructor(endpointId: string, options: OutlierOptions) {
    this.endpointId = endpointId;
    this.#options = options;
  }

  /** Its state at `now`; slow start ends after its duration. */
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

  /** Time from which probes are due; infinite when none are. */
  get probesDueFrom(): number {
    if (this.#state === "suspect") return this.#suspectedAt;
    if (this.#state === "ejected") return this.#ejectedUntil;
    return Number.POSITIVE_INFINITY;
  }

  /** Share of its usual load that it may get, 0 to 1. */
  weightAt(now: number): number {
    if (this.#state === "healthy") return 1;
    if (this.#state === "ejected") return 0;
    if (!this.#isRampingAt(now)) return 1;
    const { rampMilliseconds, rampStartWeight } = this.#options;
    const progress = Math.max(0, now - this.#rampFrom) / rampMilliseconds;
    return rampStartWeight + (1 - rampStartWeight) * progress;
  }

  /** Starts slow start at `now`. */
  startRamp(now: number): void {
    this.#state = "ramping";
    this.#rampFrom = now;
    this.#recoveredAt = now;
    this.#reason = undefined;
    this.#clearOutcomes();
  }

  /** Marks it as suspect until a probe decides. */
  suspect(now: number): void {
    if (this.#state === "ejected" || this.#state === "suspect") return;
    this.#state = "suspect";
    this.#suspectedAt = now;
  }

  /**
   * Ejects it. Each ejection for failures or latency lasts twice as long as the
   * previous one. An ejection for failed probes doesn't back off, because each
   * probe reevaluates it: endpoints return at once when a failed switch
   * recovers.
   */
  eject(reason: EjectionReason, now: number): void {
    this.#ejectedUntil = now + this.#ejectionTime(reason, now);
    this.#state = "ejected";
    this.#reason = reason;
    this.#probesAnswered = 0;
  }

  /**
   * Ends an ejection without probes, for example when the whole pool fails. It
   * still counts as failing until its next call, or the rest of the pool would
   * no longer fail as a whole and be ejected next.
   */
  cancelEjection(now: number): void {
    this.#state = "healthy";
    this.#reason = undefined;
    this.#recoveredAt = now;
    this.consecutiveFailures = 0;
  }

  /** Records an answered probe. */
  probeAnswered(now: number): void {
    if (this.#state === "suspect") this.#clearSuspicion(now);
    if (this.#state !== "ejected" || now < this.#ejectedUntil) return;
    this.#probesAnswered++;
    if (this.#probesAnswered < this.#options.probesToRecover) return;
    this.startRamp(now);
  }

  /** True when a probe that fails now ejects it or renews its ejection. */
  ejectsOnProbeFailure(now: number): boolean {
    if (this.#state === "suspect") return true;
    return this.#state === "ejected" && now >= this.#ejectedUntil;
  }

  #ejectionTime(reason: EjectionReason, now: number): number {
    const options = this.#options;
    if (reason === "probe_failed") return options.ejectionMilliseconds;
    const healthyFor = now - this.#recoveredAt;
    if (healthyFor >= options.ejectionResetMilliseconds) this.#ejections = 0;
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

  #clearOutcomes(): void {
    this.failing = false;
    this.consecutiveFailures = 0;
    this.outcomes.clear();
    this.latencies.clear();
  }
}
