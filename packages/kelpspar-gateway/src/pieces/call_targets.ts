import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { PieceResult } from "./chain_outcome.ts";
import { preferHealthy } from "../endpoints/prefer_healthy.ts";
import type { KeptResults } from "./kept_results.ts";
import type { RunningCall } from "./running_call.ts";
import { CallTarget } from "./call_target.ts";

/** Dependencies of `CallTargets`. */
export interface CallTargetsOptions {
  readonly registry: EndpointRegistry;
  readonly rateLimiter: EndpointRateLimiter;
  readonly service: string;
}

/** The endpoints of one stage service, as targets of its scheduler's calls. */
export class CallTargets {
  readonly #registry: EndpointRegistry;
  readonly #rateLimiter: EndpointRateLimiter;
  readonly #service: string;
  readonly #targets = new Map<string, CallTarget>();

  constructor(options: CallTargetsOptions) {
    this.#registry = options.registry;
    this.#rateLimiter = options.rateLimiter;
    this.#service = options.service;
  }

  /**
   * Endpoints that get work: the healthy ones, otherwise all that aren't paused.
   * Returns paused ones only if all are, so that callers can wait for them.
   */
  usable(now: number): readonly CallTarget[] {
    const all = this.#registry.availableFor(this.#service);
    const best = preferHealthy(all, now);
    return (best.length > 0 ? best : all).map((endpoint) =>
      this.#targetOf(endpoint)
    );
  }

  #targetOf(endpoint: EndpointState): CallTarget {
    const known = this.#targets.get(endpoint.entry.id);
    if (known !== undefined) return known;
    const target = new CallTarget(endpoint, this.#rateLimiter);
    this.#targets.set(endpoint.entry.id, target);
    return target;
  }

  /** Time until a call could start with an empty queue, milliseconds. */
  slotWait(terms: PieceTerms, now: number): number {
    const waits = this.usable(now).map((target) =>
      target.waitFor(terms, { slowness: 1, now })
    );
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /**
   * Aborts overdue calls whose pieces are all of closed chains. Others end
   * soon: an endpoint completes a call that it works on, and only the answer
   * tells which results to free.
   */
  abortUnneeded(): void {
    for (const target of this.#targets.values()) {
      for (const call of target.calls) {
        if (call.isHedged && !isNeeded(call)) call.abort.abort();
      }
    }
  }

  /** Removes an endpoint that finishes its calls. */
  remove(id: string): void {
    this.#targets.delete(id);
  }

  /** Removes an endpoint that is gone and aborts its calls. */
  removeAndAbort(id: string): void {
    const target = this.#targets.get(id);
    if (target === undefined) return;
    this.#targets.delete(id);
    target.isGone = true;
    for (const call of target.calls) call.abort.abort();
  }

  find(id: string): CallTarget | undefined {
    return this.#targets.get(id);
  }

  /** The results that a maker keeps; undefined if it isn't a target. */
  resultsAt({ makerId }: PieceResult): KeptResults | undefined {
    return this.#targets.get(makerId)?.results;
  }
}

function isNeeded({ tasks }: RunningCall): boolean {
  return tasks.some(({ chain }) => chain.isOpen);
}
