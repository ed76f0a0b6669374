import type { CallOutcome } from "./call_outcome.ts";
import type { EjectionReason } from "./endpoint_health.ts";
import type { OutlierOptions } from "./outlier_options.ts";
import { EndpointHealth } from "./endpoint_health.ts";
import { HealthPool } from "./health_pool.ts";
import { LatencyWindow, medianOf } from "./latency_window.ts";
import { DEFAULT_OUTLIER_OPTIONS } from "./outlier_options.ts";

const OUTCOME_KINDS: Readonly<
  Record<CallOutcome, "success" | "failure" | "cancelled" | "neutral">
> = {
  success: "success",
  failed: "failure",
  silent: "failure",
  refused: "failure",
  overloaded: "neutral",
  leaving: "neutral",
  cancelled: "cancelled",
};

/** A call that ended, as input of the detector. */
export interface OutlierSample {
  /** The pool whose members the latency is compared with. */
  readonly poolKey: string;
  readonly outcome: CallOutcome;
  readonly latencyMilliseconds: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/**
 * Ejects endpoints that perform worse than their pool: by consecutive failures,
 * by failure rate, and by a median latency far above the pool's. A pool never
 * loses more than a limited share of its members, and a pool that is slow or
 * fails as a whole loses none, because its members aren't the cause.
 */
export class OutlierDetector {
  #options: OutlierOptions;
  readonly #pools = new Map<string, HealthPool>();
  readonly #poolsOf = new Map<EndpointHealth, readonly HealthPool[]>();

  constructor(options: Partial<OutlierOptions> = {}) {
    this.#options = { ...DEFAULT_OUTLIER_OPTIONS, ...options };
  }

  /** Applies the options of a newly accepted configuration. */
  configure(options: Partial<OutlierOptions>): void {
    this.#options = { ...this.#options, ...options };
  }

  /** Creates the health of an endpoint that isn't in a pool yet. */
  createHealth(endpointId: string): EndpointHealth {
    return new EndpointHealth(endpointId, this.#options);
  }

  /** Sets the pools of an endpoint; none when it accepts no calls. */
  place(health: EndpointHealth, poolKeys: readonly string[]): void {
    for (const pool of this.#poolsOf.get(health) ?? []) {
      pool.members.delete(health);
      if (pool.members.size === 0) this.#pools.delete(pool.key);
    }
    this.#poolsOf.delete(health);
    if (poolKeys.length === 0) return;
    const pools = poolKeys.map((key) => this.#getOrCreatePool(key));
    for (const pool of pools) pool.members.add(health);
    this.#poolsOf.set(health, pools);
  }

  callEnded(health: EndpointHealth, sample: OutlierSample): void {
    const kind = OUTCOME_KINDS[sample.outcome];
    if (kind === "success") this.#handleSuccess(health, sample);
    if (kind === "failure") this.#handleFailure(health, sample);
    if (kind === "cancelled") this.#handleCancellation(health, sample);
  }

  /** Ejects latency outliers in pools with new samples; call it each second. */
  ejectLatencyOutliers(now: number): void {
    for (const pool of this.#pools.values()) {
      if (!pool.hasNewLatencies) continue;
      pool.hasNewLatencies = false;
      this.#ejectSlowMembers(pool, now);
    }
  }

  /** Records a probe's result. */
  recordProbe(
    health: EndpointHealth,
    probe: { readonly answered: boolean; readonly at: number },
  ): void {
    if (probe.answered) return health.probeAnswered(probe.at);
    if (!health.ejectsOnProbeFailure(probe.at)) return;
    if (health.isEjected) health.eject("probe_failed", probe.at);
    else this.#tryEject(health, "probe_failed", probe.at);
  }

  #handleSuccess(health: EndpointHealth, sample: OutlierSample): void {
    health.consecutiveFailures = 0;
    health.outcomes.add(false, sample.at);
    health.failing = this.#isFailing(health, sample.at);
    this.#addLatency(health, sample);
  }

  #handleFailure(health: EndpointHealth, sample: OutlierSample): void {
    health.consecutiveFailures++;
    health.outcomes.add(true, sample.at);
    health.failing = this.#isFailing(health, sample.at);
    if (!health.failing || health.isEjected) return;
    if (this.#cancelEjectionsInFailingPools(health, sample.at)) return;
    if (!this.#tryEject(health, "failures", sample.at)) {
      health.consecutiveFailures = 0;
    }
  }

  /**
   * With hedging, the calls of a slow endpoint are the ones that get cancelled,
   * so without this it would never have a latency and would keep its share of
   * the calls. A cancelled call that has already taken longer than the median
   * counts as a latency sample.
   */
  #handleCancellation(health: EndpointHealth, sample: OutlierSample): void {
    const median = this.#pools.get(sample.poolKey)?.medianMilliseconds;
    if (median === undefined || sample.latencyMilliseconds <= median) return;
    this.#addLatency(health, sample);
  }

  #addLatency(health: EndpointHealth, sample: OutlierSample): void {
    const pool = this.#pools.get(sample.poolKey);
    if (pool === undefined || !pool.members.has(health)) return;
    let window = health.latencies.get(pool.key);
    if (window === undefined) {
      window = new LatencyWindow();
      health.latencies.set(pool.key, window);
    }
    window.add(sample.latencyMilliseconds, sample.at);
    pool.hasNewLatencies = true;
  }

  #isFailing(health: EndpointHealth, now: number): boolean {
    const options = this.#options;
    const threshold = health.stateAt(now) === "ramping"
      ? options.consecutiveFailuresRamping
      : options.consecutiveFailures;
    if (health.consecutiveFailures >= threshold) return true;
    return health.outcomes.totalAt(now) >= options.minimumOutcomes &&
      health.outcomes.failureShareAt(now) >= options.failureShare;
  }

  /**
   * An external fault makes every member fail; half of them would be ejected,
   * and half the capacity would still be missing after the fault. A pool that
   * fails as a whole therefore readmits the members ejected for failures.
   */
  #cancelEjectionsInFailingPools(health: EndpointHealth, now: number): boolean {
    let isPoolFailing = false;
    for (const pool of this.#poolsOf.get(health) ?? []) {
      const limit = pool.members.size * this.#options.wholePoolShare;
      if (pool.countFailing() < limit) continue;
      isPoolFailing = true;
      for (const member of pool.members) {
        if (member.reason === "failures") member.cancelEjection(now);
      }
    }
    return isPoolFailing;
  }

  #tryEject(
    health: EndpointHealth,
    reason: EjectionReason,
    now: number,
  ): boolean {
    if (health.isEjected) return true;
    const pools = this.#poolsOf.get(health) ?? [];
    const allowed = pools.length > 0 && pools.every((pool) => {
      const most = Math.floor(pool.members.size * this.#options.ejectedShare);
      return pool.countEjected() < most;
    });
    if (allowed) health.eject(reason, now);
    return allowed;
  }

  #ejectSlowMembers(pool: HealthPool, now: number): void {
    const measured: { health: EndpointHealth; median: number }[] = [];
    for (const health of pool.members) {
      const median = health.latencies.get(pool.key)
        ?.medianAt(now, this.#options.minimumLatencies);
      if (median !== undefined) measured.push({ health, median });
    }
    const poolMedian = medianOf(measured.map((member) => member.median));
    pool.medianMilliseconds = poolMedian;
    if (
      poolMedian === undefined || measured.length < this.#options.minimumPeers
    ) {
      return;
    }
    measured.sort((left, right) => right.median - left.median);
    for (const { health, median } of measured) {
      if (!this.#isLatencyOutlier(median, poolMedian)) break;
      if (this.#isSlowerThanPeers(health, pool)) {
        this.#tryEject(health, "latency", now);
      }
    }
  }

  /**
   * When the whole pool becomes slower, the member that completes its slow
   * calls first would look like the outlier beside the others' older latencies.
   * Its latest latencies are therefore compared with its peers' latencies of
   * the same period.
   */
  #isSlowerThanPeers(health: EndpointHealth, pool: HealthPool): boolean {
    const needed = this.#options.minimumLatencies;
    const own = health.latencies.get(pool.key);
    if (own === undefined) return false;
    const since = own.timeOfLatest(needed);
    const peers: number[] = [];
    for (const member of pool.members) {
      if (member === health) continue;
      peers.push(...member.latencies.get(pool.key)?.since(since) ?? []);
    }
    if (peers.length < needed) return false;
    const ownMedian = medianOf(own.since(since)) ?? 0;
    return this.#isLatencyOutlier(ownMedian, medianOf(peers) ?? ownMedian);
  }

  #isLatencyOutlier(latency: number, median: number): boolean {
    const { latencyFactor, latencyExcessMilliseconds } = this.#options;
    return latency > median * latencyFactor &&
      latency > median + latencyExcessMilliseconds;
  }

  #getOrCreatePool(key: string): HealthPool {
    const existing = this.#pools.get(key);
    if (existing !== undefined) return existing;
    const pool = new HealthPool(key);
    this.#pools.set(key, pool);
    return pool;
  }
}
