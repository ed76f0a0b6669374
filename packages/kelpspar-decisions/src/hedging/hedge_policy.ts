import type { SlidingWindowCounterOptions } from "../retries/mod.ts";
import type { HedgeCost } from "./hedge_cost.ts";
import type { HedgeDecision, HedgeObstacle } from "./hedge_decision.ts";
import type { HedgeRequest } from "./hedge_request.ts";
import { TimeHistogram } from "../admission/mod.ts";
import { SlidingWindowCounter } from "../retries/mod.ts";

const DEFAULT_HEDGE_SHARE = 0.03;
const DEFAULT_SATURATED_UTILIZATION = 0.8;
const SAMPLES_NEEDED = 50;

/** Limits on hedging. */
export interface HedgePolicyOptions extends SlidingWindowCounterOptions {
  /** Hedges allowed per recent call of a service; default 0.03. */
  readonly share?: number;
  /** Utilization from which no call is hedged; default 0.8. */
  readonly saturatedUtilization?: number;
}

interface ServiceHedges {
  readonly latencies: TimeHistogram;
  readonly recentCalls: SlidingWindowCounter;
  readonly recentHedges: SlidingWindowCounter;
  readonly cost: { -readonly [Name in keyof HedgeCost]: HedgeCost[Name] };
}

/**
 * Decides which calls are hedged: a repeatable call that has taken longer than
 * its service's p95 is sent again. The caller uses the first answer and cancels
 * the other call. Near saturation hedging is off, because it would reinforce
 * itself: hedges slow down every call, which triggers more hedges.
 *
 * Source: Dean and Barroso, "The Tail at Scale", 2013.
 */
export class HedgePolicy {
  readonly #options: HedgePolicyOptions;
  readonly #services = new Map<string, ServiceHedges>();

  constructor(options: HedgePolicyOptions = {}) {
    this.#options = options;
  }

  /** Counts a call that was sent; hedges are excluded. */
  recordCall(serviceId: string, now: number): void {
    const service = this.#getOrCreateService(serviceId);
    service.recentCalls.add(1, now);
    service.cost.calls++;
  }

  /**
   * Records the latency of a first call that ended, or the time that one had
   * taken when it was cancelled because its hedge won.
   */
  recordLatency(
    serviceId: string,
    options: { readonly milliseconds: number; readonly now: number },
  ): void {
    this.#getOrCreateService(serviceId).latencies.observe(
      options.milliseconds,
      options.now,
    );
  }

  /**
   * Time after which a call may be hedged, milliseconds: the observed p95 of
   * its service. Undefined while there are too few samples.
   */
  hedgeDelay(serviceId: string, now: number): number | undefined {
    const times = this.#getOrCreateService(serviceId).latencies.times(now);
    if (times === undefined || times.samples < SAMPLES_NEEDED) return undefined;
    return times.p95;
  }

  /** Decides whether to hedge a call and, if so, spends it from the budget. */
  tryHedge(request: HedgeRequest, now: number): HedgeDecision {
    const obstacle = this.#findObstacle(request, now);
    if (obstacle !== undefined) return { hedge: false, obstacle };
    const service = this.#getOrCreateService(request.serviceId);
    service.recentHedges.add(1, now);
    service.cost.hedges++;
    return { hedge: true };
  }

  /**
   * Records which of the two calls answered first, and the cost of the other
   * one up to its cancellation, in runner-milliseconds.
   */
  recordWinner(
    serviceId: string,
    options: {
      readonly winner: "first" | "hedge";
      readonly lostRunnerMilliseconds: number;
    },
  ): void {
    const { cost } = this.#getOrCreateService(serviceId);
    if (options.winner === "hedge") cost.wins++;
    cost.lostRunnerMilliseconds += options.lostRunnerMilliseconds;
  }

  /** Cost of hedging the service since the process started. */
  cost(serviceId: string): HedgeCost {
    return { ...this.#getOrCreateService(serviceId).cost };
  }

  #findObstacle(request: HedgeRequest, now: number): HedgeObstacle | undefined {
    if (request.effect === "once") return "not_repeatable";
    if (request.isStreaming) return "streaming";
    const after = this.hedgeDelay(request.serviceId, now);
    if (after === undefined) return "too_few_samples";
    if (request.elapsedMilliseconds < after) return "not_late";
    const median =
      this.#getOrCreateService(request.serviceId).latencies.times(now)?.p50 ??
        0;
    if (request.remainingMilliseconds < median) return "no_time_left";
    if (request.otherEndpoints === 0) return "no_other_endpoint";
    if (this.#isSaturated(request)) return "saturated";
    return this.#hasBudget(request.serviceId, now) ? undefined : "budget_spent";
  }

  #isSaturated(request: HedgeRequest): boolean {
    const limit = this.#options.saturatedUtilization ??
      DEFAULT_SATURATED_UTILIZATION;
    return request.waiting > 0 || request.utilization >= limit;
  }

  #hasBudget(serviceId: string, now: number): boolean {
    const { recentCalls, recentHedges } = this.#getOrCreateService(serviceId);
    const share = this.#options.share ?? DEFAULT_HEDGE_SHARE;
    return recentHedges.sum(now) + 1 <= share * recentCalls.sum(now);
  }

  #getOrCreateService(serviceId: string): ServiceHedges {
    const known = this.#services.get(serviceId);
    if (known !== undefined) return known;
    const service: ServiceHedges = {
      latencies: new TimeHistogram(),
      recentCalls: new SlidingWindowCounter(this.#options),
      recentHedges: new SlidingWindowCounter(this.#options),
      cost: { calls: 0, hedges: 0, wins: 0, lostRunnerMilliseconds: 0 },
    };
    this.#services.set(serviceId, service);
    return service;
  }
}
