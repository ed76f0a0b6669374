import type { FairQueue } from "kelpspar-decisions/fairness";
import type { EndpointAddress } from "kelpspar-shared";
import type { PermitRequest } from "./permit_request.ts";
import { SlotThroughput } from "kelpspar-decisions/fairness";
import { KelpsparError } from "kelpspar-shared";

/** Calls that left the queue but wait for an endpoint of their model. */
const MOST_PARKED = 8;

/** A call that waits for its permit. */
export interface WaitingCall {
  readonly request: PermitRequest;
  /** What its account was charged as it left the queue. */
  chargedCost: number;
  /** When the call began to wait, monotonic milliseconds. */
  readonly since: number;
  readonly grant: (endpoint: EndpointAddress) => void;
  readonly refuse: (error: KelpsparError) => void;
}

/** Why no endpoint was found for a call. */
export type NoEndpointReason = "no_endpoint" | "all_full";

/** What a gate asks of its surroundings. */
export interface ServiceGateOptions {
  readonly serviceId: string;
  readonly queue: FairQueue<WaitingCall>;
  readonly choose: (
    request: PermitRequest,
  ) => EndpointAddress | NoEndpointReason;
  readonly now: () => number;
  /** When refused callers may come back, milliseconds. */
  readonly comeback: () => number;
}

/**
 * Lets calls of one service pass in fair order, up to this daemon's slice of
 * the service's concurrency. A call whose model has no free endpoint is parked
 * rather than blocking calls of other models behind it; a few at a time, so
 * that the fair order is kept but for those.
 */
export class ServiceGate {
  readonly #options: ServiceGateOptions;
  #parked: WaitingCall[] = [];
  readonly #pace = new SlotThroughput();
  #running = 0;
  #limit = 1;

  constructor(options: ServiceGateOptions) {
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

  /** The calls that left the queue and wait for an endpoint. */
  get parked(): readonly WaitingCall[] {
    return this.#parked;
  }

  /** Cost that this daemon's slice works off in a millisecond. */
  get concurrency(): number {
    return this.#pace.effectiveConcurrency(this.#limit);
  }

  /** True when a new call would not start at once. */
  get isContended(): boolean {
    return this.waiting > 0 || this.#running >= this.#limit;
  }

  /** Sets how many calls this daemon may run at a time. */
  setLimit(limit: number): void {
    this.#limit = Math.max(1, limit);
    this.#options.queue.setConcurrency(this.concurrency);
  }

  /** Counts a call as ended and lets others pass. */
  callEnded(call: {
    readonly heldMilliseconds: number;
    readonly cost: number;
  }): void {
    this.#running--;
    this.#pace.observe(call);
    this.pump();
  }

  /** Lets pass what may, and refuses at once what waits in vain. */
  pump(): void {
    this.#refuseExpired();
    this.#grantParked();
    while (this.#running < this.#limit && this.#parked.length < MOST_PARKED) {
      const item = this.#options.queue.dequeue(this.#options.now());
      if (item === undefined) break;
      item.item.chargedCost = item.chargedCost;
      if (!this.#tryGrant(item.item)) this.#parked.push(item.item);
    }
    this.#refuseExpired();
  }

  /** Takes out a parked call that nobody wants any more. */
  cancelParked(call: WaitingCall): void {
    this.#parked = this.#parked.filter((parked) => parked !== call);
    this.#refund(call);
  }

  #grantParked(): void {
    if (this.#parked.length === 0) return;
    const parked = this.#parked;
    this.#parked = [];
    for (const call of parked) {
      const isPast = call.request.deadlineAt <= this.#options.now();
      if (isPast) this.#refuse(call, this.#lateError(call));
      else if (!this.#tryGrant(call)) this.#parked.push(call);
    }
  }

  /** True when the call needs to wait no longer: granted or refused. */
  #tryGrant(call: WaitingCall): boolean {
    if (this.#running >= this.#limit) return false;
    const chosen = this.#options.choose(call.request);
    if (chosen === "all_full") return false;
    if (chosen === "no_endpoint") {
      this.#refuse(call, this.#noEndpointError(call));
      return true;
    }
    this.#running++;
    call.grant(chosen);
    return true;
  }

  /** A call that left the queue was charged; one that never runs is not. */
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
      item.refuse(this.#lateError(item));
    }
  }

  #lateError(call: WaitingCall): KelpsparError {
    return new KelpsparError(
      "cannot_finish_in_time",
      `Stage "${call.request.stageId}" waited too long for service "${this.#options.serviceId}"`,
      { retryAfterMilliseconds: this.#options.comeback() },
    );
  }

  #noEndpointError(call: WaitingCall): KelpsparError {
    return new KelpsparError(
      "no_endpoint",
      `No endpoint of service "${this.#options.serviceId}" is ready for stage "${call.request.stageId}"`,
      { retryAfterMilliseconds: this.#options.comeback() },
    );
  }
}
