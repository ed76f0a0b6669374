/** A future call of an admitted request that is not in a queue yet. */
export interface ExpectedCall {
  readonly serviceId: string;
  readonly accountId: string;
  /** Estimated cost, runner-milliseconds. */
  readonly cost: number;
}

/** Inputs of `ExpectedCalls.estimateWait`. */
export interface ExpectedWaitOptions {
  readonly serviceId: string;
  readonly accountId: string;
  /** Cost that the service processes per millisecond. */
  readonly concurrency: number;
  /** Currently free slots. */
  readonly freeSlots: number;
  /** Share of the account among the contending accounts, in (0, 1]. */
  readonly part: number;
  /** True if calls are already queued for the service. */
  readonly isContended: boolean;
}

interface ServiceTally {
  calls: number;
  readonly costs: Map<string, number>;
}

/**
 * Tracks the work that admitted requests will bring to later stages.
 *
 * Requests in their first stages are not in a later queue yet. Without this
 * tracking, a new request would see the last stage as free while a second of
 * work is on its way there. The symptom is requests that are abandoned at their
 * deadline after all but the last stage has run.
 */
export class ExpectedCalls {
  readonly #services = new Map<string, ServiceTally>();

  /**
   * Adds a call. Returns a function that removes it once it is queued or will
   * never be queued.
   */
  add(call: ExpectedCall): () => void {
    const service = this.#getOrCreateTally(call.serviceId);
    service.calls++;
    this.#adjustCost(service, call, call.cost);
    let isRemoved = false;
    return () => {
      if (isRemoved) return;
      isRemoved = true;
      service.calls--;
      this.#adjustCost(service, call, -call.cost);
    };
  }

  /** Number of calls expected at a service. */
  countCalls(serviceId: string): number {
    return this.#services.get(serviceId)?.calls ?? 0;
  }

  /** Accounts with calls expected at a service. */
  listAccounts(serviceId: string): Iterable<string> {
    return this.#services.get(serviceId)?.costs.keys() ?? [];
  }

  /**
   * Wait that the expected calls of an account add to a new call of the same
   * account, milliseconds. Calls that will find a free slot add nothing.
   *
   * While no call is queued, no account delays another, so the wait is limited
   * to the time that all expected calls together need. Without that limit, the
   * few calls of a small account would be estimated at its share alone and
   * refused although the service could run them all.
   */
  estimateWait(options: ExpectedWaitOptions): number {
    const service = this.#services.get(options.serviceId);
    if (service === undefined || service.calls === 0) return 0;
    const own = service.costs.get(options.accountId) ?? 0;
    const excessCalls = Math.max(0, service.calls - options.freeSlots);
    const share = excessCalls / service.calls;
    const waitAtAccountShare = own * share /
      (options.concurrency * options.part);
    if (options.isContended) return waitAtAccountShare;
    let totalCost = 0;
    for (const cost of service.costs.values()) totalCost += cost;
    return Math.min(
      waitAtAccountShare,
      totalCost * share / options.concurrency,
    );
  }

  #adjustCost(
    service: ServiceTally,
    call: ExpectedCall,
    costDifference: number,
  ): void {
    const cost = (service.costs.get(call.accountId) ?? 0) + costDifference;
    // A rounding residue would keep the account in the map forever.
    if (cost > 1e-6) service.costs.set(call.accountId, cost);
    else service.costs.delete(call.accountId);
  }

  #getOrCreateTally(serviceId: string): ServiceTally {
    const known = this.#services.get(serviceId);
    if (known !== undefined) return known;
    const service: ServiceTally = { calls: 0, costs: new Map() };
    this.#services.set(serviceId, service);
    return service;
  }
}
