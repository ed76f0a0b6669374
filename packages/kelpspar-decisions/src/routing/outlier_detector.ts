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

/** A call that ended, as the detector sees it. */
export interface OutlierSample {
  /** The pool whose members the latency is compared with. */
  readonly poolKey: string;
  readonly outcome: CallOutcome;
  readonly latencyMilliseconds: number;
  /** Monotonic milliseconds. */
  readonly at: number;
}

/**
 * Ejects endpoints that do worse than their pool: by failures in a row, by the
 * share of failures, and by a median latency far over the pool's. No pool ever
 * loses more than a share of its members, and one that is slow or fails as a
 * whole loses none, since its members are not the cause.
 */
export class OutlierDetector {
  #options: OutlierOptions;
  readonly #pools = new Map<string, HealthPool>();
  readonly #poolsOf = new Map<EndpointHealth, readonly HealthPool[]>();

  constructor(options: Partial<OutlierOptions> = {}) {
    this.#options = { ...DEFAULT_OUTLIER_OPTIONS, ...options };
  }

  /** Takes options of a newly accepted configuration. */
  configure(options: Partial<OutlierOptions>): void {
    this.#options = { ...this.#options, ...options };
  }

  /** Health for an endpoint that is in no pool yet. */
  createHealth(endpointId: string): EndpointHealth {
    return new EndpointHealth(endpointId, this.#options);
  }

  /** Sets the pools an endpoint belongs to; none when it takes no work. */
  place(health: EndpointHealth, poolKeys: readonly string[]): void {
    for (const pool of this.#poolsOf.get(health) ?? []) {
      pool.members.delete(health);
      if (pool.members.size === 0) this.#pools.delete(pool.key);
    }
    this.#poolsOf.delete(health);
    if (poolKeys.length === 0) return;
    const pools = poolKeys.map((key) => this.#poolOf(key));
    for (const pool of pools) pool.members.add(health);
    this.#poolsOf.set(health, pools);
  }

  callEnded(health: EndpointHealth, sample: OutlierSample): void {
    const kind = OUTCOME_KINDS[sample.outcome];
    if (kind === "success") this.#succeeded(health, sample);
    if (kind === "failure") this.#failed(health, sample);
    if (kind === "cancelled") this.#cancelled(health, sample);
  }

  /** Compares latencies in the pools that have new ones; call it each second. */
  judgeLatencies(now: number): void {
    for (const pool of this.#pools.values()) {
      if (!pool.hasNewLatencies) continue;
      pool.hasNewLatencies = false;
      this.#judgePool(pool, now);
    }
  }

  /** Takes in a probe's result. */
  probed(
    health: EndpointHealth,
    probe: { readonly answered: boolean; readonly at: number },
  ): void {
    if (probe.answered) return health.probeAnswered(probe.at);
    if (!health.isProbeFailureFinal(probe.at)) return;
    if (health.isEjected) health.eject("probe_failed", probe.at);
    else this.#tryEject(health, "probe_failed", probe.at);
  }

  #succeeded(health: EndpointHealth, sample: OutlierSample): void {
    health.failuresInRow = 0;
    health.outcomes.add(false, sample.at);
    health.failing = this.#isFailing(health, sample.at);
    this.#addLatency(health, sample);
  }

  #failed(health: EndpointHealth, sample: OutlierSample): void {
    health.failuresInRow++;
    health.outcomes.add(true, sample.at);
    health.failing = this.#isFailing(health, sample.at);
    if (!health.failing || health.isEjected) return;
    if (this.#pardonFailingPool(health, sample.at)) return;
    if (!this.#tryEject(health, "failures", sample.at)) {
      health.failuresInRow = 0;
    }
  }

  /**
   * What goes wrong: with hedging the slow endpoint's calls are always the ones
   * cancelled, so it never shows a latency and keeps its share of the calls. A
   * cancelled call that already took longer than the median says enough.
   */
  #cancelled(health: EndpointHealth, sample: OutlierSample): void {
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
    const inRow = health.stateAt(now) === "ramping"
      ? options.failuresInRowRamping
      : options.failuresInRow;
    if (health.failuresInRow >= inRow) return true;
    return health.outcomes.totalAt(now) >= options.minimumOutcomes &&
      health.outcomes.failureShareAt(now) >= options.failureShare;
  }

  /**
   * What goes wrong: a cause outside fails every member, half of them get
   * ejected, and when the cause is gone half the capacity still is. So a pool
   * that fails as a whole gets back whom failures ejected.
   */
  #pardonFailingPool(health: EndpointHealth, now: number): boolean {
    let pardoned = false;
    for (const pool of this.#poolsOf.get(health) ?? []) {
      const limit = pool.members.size * this.#options.wholePoolShare;
      if (pool.countFailing() < limit) continue;
      pardoned = true;
      for (const member of pool.members) {
        if (member.reason === "failures") member.pardon(now);
      }
    }
    return pardoned;
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

  #judgePool(pool: HealthPool, now: number): void {
    const judged: { health: EndpointHealth; median: number }[] = [];
    for (const health of pool.members) {
      const median = health.latencies.get(pool.key)
        ?.medianAt(now, this.#options.minimumLatencies);
      if (median !== undefined) judged.push({ health, median });
    }
    const middle = medianOf(judged.map((one) => one.median));
    pool.medianMilliseconds = middle;
    if (middle === undefined || judged.length < this.#options.minimumPeers) {
      return;
    }
    judged.sort((left, right) => right.median - left.median);
    for (const { health, median } of judged) {
      if (!this.#isFarOver(median, middle)) break;
      if (this.#isSlowerThanPeers(health, pool)) {
        this.#tryEject(health, "latency", now);
      }
    }
  }

  /**
   * What goes wrong: the whole pool gets slower, one member completes its slow
   * calls first, and beside the others' older latencies it looks like the one
   * that is slow. So its latest latencies are compared with those that its
   * peers had in the same time.
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
    return this.#isFarOver(ownMedian, medianOf(peers) ?? ownMedian);
  }

  #isFarOver(latency: number, median: number): boolean {
    const { latencyFactor, latencyExcessMilliseconds } = this.#options;
    return latency > median * latencyFactor &&
      latency > median + latencyExcessMilliseconds;
  }

  #poolOf(key: string): HealthPool {
    const known = this.#pools.get(key);
    if (known !== undefined) return known;
    const pool = new HealthPool(key);
    this.#pools.set(key, pool);
    return pool;
  }
}
