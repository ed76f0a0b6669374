import type { FairQueue } from "kelpspar-decisions/fairness";
import type { EndpointAddress } from "kelpspar-shared";
import type { PermitRequest } from "./permit_request.ts";
import { SlotThroughput } from "kelpspar-decisions/fairness";
import { KelpsparError } from "kelpspar-shared";

/** Limit of calls that left the queue and wait for a suitable endpoint. */
const MAXIMUM_PARKED_CALLS = 8;

/** A call that waits for its permit. */
export interface WaitingCall {
  readonly request: PermitRequest;
  /** Cost charged to its account when it left the queue. */
  chargedCost: number;
  /** When the call was enqueued, monotonic milliseconds. */
  readonly waitingSince: number;
  readonly grant: (endpoint: EndpointAddress) => void;
  readonly refuse: (error: KelpsparError) => void;
}

/** Why no endpoint was found for a call. */
export type NoEndpointReason = "no_endpoint" | "all_full";

/** Options of `ServiceDispatcher`. */
export interface ServiceDispatcherOptions {
  readonly serviceId: string;
  readonly queue: FairQueue<WaitingCall>;
  readonly choose: (
    request: PermitRequest,
  ) => EndpointAddress | NoEndpointReason;
  readonly now: () => number;
  /** Retry delay for refused callers, milliseconds. */
  readonly jitteredRetryAfter: () => number;
}

/**
 * Dispatches the calls of one service in fair order, up to this daemon's share
 * of the service's concurrency. A call whose model has no free endpoint is
 * parked, so that it doesn't block calls of other models (head-of-line
 * blocking). The limit of parked calls bounds the deviation from fair order.
 */
export class ServiceDispatcher {
  readonly #options: ServiceDispatcherOptions;
  #parked: WaitingCall[] = [];
  readonly #throughput = new SlotThroughput();
  #running = 0;
  #limit = 1;

  constructor(options: ServiceDispatcherOptions) {
    this.#options = options;
  }

  get running(): number {
    return this.#running;
  }

  get limit(): number {
    return this.#limit;
  }

  get waiting(): number {
    return this.#options.queue.size + this.#parked.length;
  }

  get queue(): FairQueue<WaitingCall> {
    return this.#options.queue;
  }

  /** The calls that left the queue and wait for a free endpoint. */
  get parked(): readonly WaitingCall[] {
    return this.#parked;
  }

  /** Cost that this daemon's slots process in a millisecond. */
  get concurrency(): number {
    return this.#throughput.effectiveConcurrency(this.#limit);
  }

  /** True when a new call would have to wait. */
  get isContended(): boolean {
    return this.waiting > 0 || this.#running >= this.#limit;
  }

  /** Sets this daemon's limit of concurrent calls. */
  setLimit(limit: number): void {
    this.#limit = Math.max(1, limit);
    this.#options.queue.setConcurrency(this.concurrency);
  }

  /** Records the end of a call and dispatches waiting ones. */
  callEnded(call: {
    readonly heldMilliseconds: number;
    readonly cost: number;
  }): void {
    this.#running--;
    this.#throughput.observe(call);
    this.dispatch();
  }

  /** Dispatches calls up to the limit; refuses those that would be too late. */
  dispatch(): void {
    this.#refuseExpired();
    this.#grantParked();
    while (
      this.#running < this.#limit && this.#parked.length < MAXIMUM_PARKED_CALLS
    ) {
      const item = this.#options.queue.dequeue(this.#options.now());
      if (item === undefined) break;
      item.item.chargedCost = item.chargedCost;
      if (!this.#tryGrant(item.item)) this.#parked.push(item.item);
    }
    this.#refuseExpired();
  }

  /** Removes a cancelled call from the parked ones. */
  cancelParked(call: WaitingCall): void {
    this.#parked = this.#parked.filter((parked) => parked !== call);
    this.#refund(call);
  }

  #grantParked(): void {
    if (this.#parked.length === 0) return;
    const parked = this.#parked;
    this.#parked = [];
    for (const call of parked) {
      const isExpired = call.request.deadlineAt <= this.#options.now();
      if (isExpired) this.#refuse(call, this.#createLateError(call));
      else if (!this.#tryGrant(call)) this.#parked.push(call);
    }
  }

  /** Returns true when the call was granted or refused, false when it waits. */
  #tryGrant(call: WaitingCall): boolean {
    if (this.#running >= this.#limit) return false;
    const chosen = this.#options.choose(call.request);
    if (chosen === "all_full") return false;
    if (chosen === "no_endpoint") {
      this.#refuse(call, this.#createNoEndpointError(call));
      return true;
    }
    this.#running++;
    call.grant(chosen);
    return true;
  }

  /** Refuses a call and refunds the cost charged when it left the queue. */
  #refuse(call: WaitingCall, error: KelpsparError): void {
    this.#refund(call);
    call.refuse(error);
  }

  #refund(call: WaitingCall): void {
    const { queue } = this.#options;
    queue.charge(call.request.accountId, -call.chargedCost);
    call.chargedCost = 0;
  }

  #refuseExpired(): void {
    for (
      const { item } of this.#options.queue.takeExpired(this.#options.now())
    ) {
      item.refuse(this.#createLateError(item));
    }
  }

  #createLateError(call: WaitingCall): KelpsparError {
    return new KelpsparError(
      "cannot_finish_in_time",
      `Stage "${call.request.stageId}" waited too long for service "${this.#options.serviceId}"`,
      { retryAfterMilliseconds: this.#options.jitteredRetryAfter() },
    );
  }

  #createNoEndpointError(call: WaitingCall): KelpsparError {
    return new KelpsparError(
      "no_endpoint",
      `No endpoint of service "${this.#options.serviceId}" is ready for stage "${call.request.stageId}"`,
      { retryAfterMilliseconds: this.#options.jitteredRetryAfter() },
    );
  }
}
