/** A call of an admitted request that has not come to its queue yet. */
export interface ExpectedCall {
  readonly serviceId: string;
  readonly accountId: string;
  /** What it is expected to cost, runner-milliseconds. */
  readonly cost: number;
}

/** The service whose expected calls are weighed. */
export interface ExpectedWaitOptions {
  readonly serviceId: string;
  readonly accountId: string;
  /** Cost that the service works off in a millisecond. */
  readonly concurrency: number;
  /** Slots that are free now. */
  readonly freeSlots: number;
  /** The account's part of the accounts that contend, above 0 to 1. */
  readonly part: number;
  /** True when calls wait before the service already. */
  readonly isContended: boolean;
}

interface ServiceTally {
  calls: number;
  readonly costs: Map<string, number>;
}

/**
 * Work that admitted requests will bring to later stages. What goes wrong
 * without it: requests in their first stages are in no later queue yet, so an
 * arriving one is told that the last stage is free while a second's worth of
 * work is on its way there; one sees requests that are given up for their
 * deadline after all but the last stage was run for them.
 */
export class ExpectedCalls {
  readonly #services = new Map<string, ServiceTally>();

  /** Adds a call; returns what takes it back, once it queues or never will. */
  add(call: ExpectedCall): () => void {
    const service = this.#open(call.serviceId);
    service.calls++;
    this.#change(service, call, call.cost);
    let isTakenBack = false;
    return () => {
      if (isTakenBack) return;
      isTakenBack = true;
      service.calls--;
      this.#change(service, call, -call.cost);
    };
  }

  /** Calls expected at a service. */
  callsOf(serviceId: string): number {
    return this.#services.get(serviceId)?.calls ?? 0;
  }

  /** Accounts of which calls are expected at a service. */
  accountsOf(serviceId: string): Iterable<string> {
    return this.#services.get(serviceId)?.costs.keys() ?? [];
  }

  /**
   * How long the calls expected of an account add to the wait of a new one of
   * the same account, milliseconds. Those that find a free slot add nothing.
   *
   * While nothing waits, no account holds the others back: the wait is at most
   * that for all expected calls together. What goes wrong without that bound:
   * a small account's few calls are worked out at its share alone, and refused
   * before a service that could take them all.
   */
  waitOf(options: ExpectedWaitOptions): number {
    const service = this.#services.get(options.serviceId);
    if (service === undefined || service.calls === 0) return 0;
    const own = service.costs.get(options.accountId) ?? 0;
    const beyond = Math.max(0, service.calls - options.freeSlots);
    const share = beyond / service.calls;
    const atOwnPart = own * share / (options.concurrency * options.part);
    if (options.isContended) return atOwnPart;
    let all = 0;
    for (const cost of service.costs.values()) all += cost;
    return Math.min(atOwnPart, all * share / options.concurrency);
  }

  #change(service: ServiceTally, call: ExpectedCall, by: number): void {
    const cost = (service.costs.get(call.accountId) ?? 0) + by;
    // A remainder of rounding would keep an account for ever.
    if (cost > 1e-6) service.costs.set(call.accountId, cost);
    else service.costs.delete(call.accountId);
  }

  #open(serviceId: string): ServiceTally {
    const known = this.#services.get(serviceId);
    if (known !== undefined) return known;
    const service: ServiceTally = { calls: 0, costs: new Map() };
    this.#services.set(serviceId, service);
    return service;
  }
}
