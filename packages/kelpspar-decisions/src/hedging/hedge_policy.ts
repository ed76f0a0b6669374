import type { SlidingCounterOptions } from "../retries/mod.ts";
import type { HedgeCost } from "./hedge_cost.ts";
import type { HedgeDecision, HedgeObstacle } from "./hedge_decision.ts";
import type { HedgeRequest } from "./hedge_request.ts";
import { TimeHistogram } from "../admission/mod.ts";
import { SlidingCounter } from "../retries/mod.ts";

const DEFAULT_SHARE = 0.03;
const DEFAULT_SATURATED_UTILIZATION = 0.8;
const FEWEST_SAMPLES = 50;

/** How much may be hedged. */
export interface HedgePolicyOptions extends SlidingCounterOptions {
  /** Hedges allowed for each recent call of a service; default 0.03. */
  readonly share?: number;
  /** From this utilization on nothing is hedged; default 0.8. */
  readonly saturatedUtilization?: number;
}

interface ServiceHedges {
  readonly times: TimeHistogram;
  readonly recentCalls: SlidingCounter;
  readonly recentHedges: SlidingCounter;
  readonly cost: { -readonly [Name in keyof HedgeCost]: HedgeCost[Name] };
}

/**
 * Sends a repeatable call a second time when the first is later than 95 in 100
 * are, and takes the first answer; the caller cancels the other one. Hedging
 * near saturation would feed on itself: the second calls make every call
 * late, and so earn more second calls.
 *
 * Source: Dean and Barroso, "The Tail at Scale", 2013.
 */
export class HedgePolicy {
  readonly #options: HedgePolicyOptions;
  readonly #services = new Map<string, ServiceHedges>();

  constructor(options: HedgePolicyOptions = {}) {
    this.#options = options;
  }

  /** Counts a call that was sent; hedges are not counted here. */
  recordCall(serviceId: string, now: number): void {
    const service = this.#open(serviceId);
    service.recentCalls.add(1, now);
    service.cost.calls++;
  }

  /**
   * Takes the time of a first call that ended, or that was cancelled after
   * its hedge won, with the time it had taken by then.
   */
  recordTime(
    serviceId: string,
    options: { readonly milliseconds: number; readonly now: number },
  ): void {
    this.#open(serviceId).times.observe(options.milliseconds, options.now);
  }

  /**
   * After how long a call is worth a second look, milliseconds: the observed
   * p95 of its service. Undefined while too little was observed.
   */
  hedgeAfter(serviceId: string, now: number): number | undefined {
    const times = this.#open(serviceId).times.times(now);
    if (times === undefined || times.samples < FEWEST_SAMPLES) return undefined;
    return times.p95;
  }

  /** Decides on a call and, when it is to be hedged, takes it from the budget. */
  tryHedge(request: HedgeRequest, now: number): HedgeDecision {
    const obstacle = this.#findObstacle(request, now);
    if (obstacle !== undefined) return { hedge: false, obstacle };
    const service = this.#open(request.serviceId);
    service.recentHedges.add(1, now);
    service.cost.hedges++;
    return { hedge: true };
  }

  /**
   * Notes which of the two answered first and what the other had cost when it
   * was cancelled, in runner-milliseconds.
   */
  settle(
    serviceId: string,
    options: {
      readonly winner: "first" | "hedge";
      readonly lostRunnerMilliseconds: number;
    },
  ): void {
    const { cost } = this.#open(serviceId);
    if (options.winner === "hedge") cost.wins++;
    cost.lostRunnerMilliseconds += options.lostRunnerMilliseconds;
  }

  /** What hedging the service has cost since the process began. */
  cost(serviceId: string): HedgeCost {
    return { ...this.#open(serviceId).cost };
  }

  #findObstacle(request: HedgeRequest, now: number): HedgeObstacle | undefined {
    if (request.effect === "once") return "not_repeatable";
    if (request.isStreaming) return "streaming";
    const after = this.hedgeAfter(request.serviceId, now);
    if (after === undefined) return "too_few_samples";
    if (request.elapsedMilliseconds < after) return "not_late";
    const median = this.#open(request.serviceId).times.times(now)?.p50 ?? 0;
    if (request.remainingMilliseconds < median) return "no_time_left";
    if (request.otherEndpoints === 0) return "no_other_endpoint";
    if (this.#isSaturated(request)) return "saturated";
    return this.#hasRoom(request.serviceId, now) ? undefined : "budget_spent";
  }

  #isSaturated(request: HedgeRequest): boolean {
    const limit = this.#options.saturatedUtilization ??
      DEFAULT_SATURATED_UTILIZATION;
    return request.waiting > 0 || request.utilization >= limit;
  }

  #hasRoom(serviceId: string, now: number): boolean {
    const { recentCalls, recentHedges } = this.#open(serviceId);
    const share = this.#options.share ?? DEFAULT_SHARE;
    return recentHedges.sum(now) + 1 <= share * recentCalls.sum(now);
  }

  #open(serviceId: string): ServiceHedges {
    const known = this.#services.get(serviceId);
    if (known !== undefined) return known;
    const service: ServiceHedges = {
      times: new TimeHistogram(),
      recentCalls: new SlidingCounter(this.#options),
      recentHedges: new SlidingCounter(this.#options),
      cost: { calls: 0, hedges: 0, wins: 0, lostRunnerMilliseconds: 0 },
    };
    this.#services.set(serviceId, service);
    return service;
  }
}
