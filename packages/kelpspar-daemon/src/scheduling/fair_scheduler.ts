import type { AccountDemand, ServiceDemand } from "kelpspar-decisions/fairness";
import type {
  EndpointAddress,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import type { ConfigurationIndexReader } from "../state/configuration_reader.ts";
import type { DecisionParts } from "./decision_parts.ts";
import type { Permit } from "./permit.ts";
import type { PermitRequest } from "./permit_request.ts";
import type { ExpectedCallName, Scheduler, ServiceLoad } from "./scheduler.ts";
import type { WaitingCall } from "./service_dispatcher.ts";
import {
  computeFleetShares,
  EMPTY_DEMAND,
  FairQueue,
  findServiceDemand,
} from "kelpspar-decisions/fairness";
import { retryDelayMilliseconds } from "kelpspar-decisions/retries";
import { KelpsparError } from "kelpspar-shared";
import { createPermit } from "./create_permit.ts";
import { DemandMeter } from "./demand_meter.ts";
import { ReadyEndpoints } from "./endpoint_selector.ts";
import { WaitEstimator } from "./wait_estimator.ts";
import { ServiceGate } from "./service_dispatcher.ts";

const TICK_MILLISECONDS = 20;
const SHARES_EVERY_TICKS = 10;
/** The shares' arithmetic grows with accounts times services. */
const SHARES_EVERY_TICKS_OF_MANY = 50;
const MANY_SHARES = 500;
const COMEBACK_MILLISECONDS = 500;
/** Memory for the calls that wait before all services together. */
const QUEUED_BYTES = 64 * 1024 * 1024;

/** What the scheduler works on. */
export interface FairSchedulerOptions {
  readonly parts: DecisionParts;
  readonly configuration: ConfigurationIndexReader;
  readonly availabilityZone: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
  /** Daemons known to live, this one included. */
  readonly liveDaemons: () => number;
  /** Told how long a call waited for its permit. */
  readonly onWait: (request: PermitRequest, milliseconds: number) => void;
}

/**
 * Schedules stages: a gate for each service, fair by client account, and a
 * choice among the service's endpoints.
 */
export class FairScheduler implements Scheduler {
  readonly #options: FairSchedulerOptions;
  readonly #gates = new Map<string, ServiceGate>();
  readonly #demand = new DemandMeter();
  readonly #endpoints: ReadyEndpoints;
  readonly #waits: WaitEstimator;
  #ticks = 0;
  /** The peers' demand, merged once for all services. */
  #peers = EMPTY_DEMAND;

  constructor(options: FairSchedulerOptions) {
    this.#options = options;
    const { parts, configuration } = options;
    this.#endpoints = new ReadyEndpoints({ ...options, ...parts });
    this.#waits = new WaitEstimator({ ...parts, configuration });
  }

  /** Starts the clockwork; returns the teardown. */
  start(): () => void {
    return this.#options.timer.registerInterval(
      () => this.#tick(),
      TICK_MILLISECONDS,
    );
  }

  acquire(request: PermitRequest): Promise<Permit> {
    return new Promise((resolve, reject) => {
      if (request.signal.aborted) return reject(request.signal.reason);
      const gate = this.#gateOf(request.service);
      // A call may be refused before there is anything to cancel.
      let cancel = (): void => {};
      const stopListening = (): void =>
        request.signal.removeEventListener("abort", cancel);
      const call: WaitingCall = {
        request,
        chargedCost: 0,
        since: this.#options.timer.now(),
        grant: (endpoint) => {
          stopListening();
          resolve(this.#grant(gate, call, endpoint));
        },
        refuse: (error) => {
          stopListening();
          reject(error);
        },
      };
      const ticket = this.#enqueue(gate, call);
      if (ticket === undefined) return;
      cancel = (): void => {
        if (!gate.queue.remove(ticket)) gate.cancelParked(call);
        reject(request.signal.reason);
      };
      request.signal.addEventListener("abort", cancel);
      gate.pump();
    });
  }

  estimateWait(
    service: string,
    call: { readonly accountId: string; readonly priority: number },
  ): number {
    return this.#waits.estimate(this.#gateOf(service), { service, ...call });
  }

  expect(call: ExpectedCallName): () => void {
    return this.#waits.expect(call);
  }

  loadOf(
    request: Pick<PermitRequest, "service" | "model" | "exclude">,
  ): ServiceLoad {
    const gate = this.#gateOf(request.service);
    const endpoints = this.#endpoints.count(
      request.service,
      request.model,
    );
    return {
      waiting: gate.waiting,
      utilization: gate.running / gate.limit,
      otherEndpoints: Math.max(0, endpoints - request.exclude.size),
    };
  }

  /** What this daemon's accounts ask of each service, for its digest. */
  demands(): readonly ServiceDemand[] {
    return [...this.#gates.keys()].sort().map((serviceId) => ({
      serviceId,
      capacitySeen: this.#endpoints.capacityOf(serviceId),
      accounts: this.#demandOf(serviceId),
    }));
  }

  #enqueue(gate: ServiceGate, call: WaitingCall): number | undefined {
    const { request } = call;
    const { parts, timer } = this.#options;
    const now = timer.now();
    const times = parts.stageTimes.remainingTimes(
      request.pipelineId,
      request.stageIds,
      now,
    );
    const result = gate.queue.enqueue({
      accountId: request.accountId,
      priority: request.priority,
      deadlineAt: request.deadlineAt,
      // With others waiting, a slot that is given to a call which will most
      // likely be late is denied to one that would be in time.
      minimumRemainingMilliseconds: gate.isContended
        ? times.estimatedP95
        : times.minimum,
      estimatedCost: this.#waits.costOf(request),
      bytes: request.bytes,
      item: call,
    }, now);
    if (result.queued) return result.ticket;
    call.refuse(
      new KelpsparError(
        "overloaded",
        `The queue of client account "${request.accountId}" for service "${request.service}" is full`,
        { retryAfterMilliseconds: result.retryAfterMilliseconds },
      ),
    );
    return undefined;
  }

  #grant(
    gate: ServiceGate,
    call: WaitingCall,
    endpoint: EndpointAddress,
  ): Permit {
    const { request } = call;
    const { parts, timer } = this.#options;
    this.#options.onWait(request, timer.now() - call.since);
    this.#demand.started(request.service, request.accountId);
    return createPermit({
      parts,
      timer,
      request,
      endpoint,
      chargedCost: call.chargedCost,
      charge: (difference) => gate.queue.charge(request.accountId, difference),
      onEnd: (ended) => {
        this.#demand.ended(request.service, {
          accountId: request.accountId,
          cost: ended.cost,
        });
        gate.callEnded(ended);
      },
    });
  }

  #gateOf(serviceId: string): ServiceGate {
    const known = this.#gates.get(serviceId);
    if (known !== undefined) return known;
    const { timer, random, configuration } = this.#options;
    const gate = new ServiceGate({
      serviceId,
      queue: new FairQueue<WaitingCall>({
        random,
        boundsOf: (accountId) => this.#boundsOf(accountId),
        maximumTotalBytes: Math.floor(
          QUEUED_BYTES / Math.max(1, configuration.services().size),
        ),
      }),
      choose: (request) => this.#endpoints.choose(request),
      now: () => timer.now(),
      comeback: () => retryDelayMilliseconds(COMEBACK_MILLISECONDS, { random }),
    });
    this.#gates.set(serviceId, gate);
    this.#setShares(serviceId, gate);
    return gate;
  }

  #boundsOf(accountId: string): {
    readonly maximumRequests: number;
    readonly maximumBytes: number;
    readonly maximumWaitMilliseconds: number;
  } {
    const account = this.#options.configuration.accounts().get(accountId);
    return {
      maximumRequests: account?.maximumQueuedRequests ?? 1,
      maximumBytes: account?.maximumQueuedBytes ?? 0,
      maximumWaitMilliseconds: Number.POSITIVE_INFINITY,
    };
  }

  #tick(): void {
    this.#ticks++;
    if (this.#ticks % this.#sharesEvery() === 0) {
      const { parts, timer } = this.#options;
      this.#peers = parts.fleet.peers(timer.now());
      for (const [id, gate] of this.#gates) this.#setShares(id, gate);
    }
    for (const gate of this.#gates.values()) gate.pump();
  }

  /** Share that was lent out is taken back within a second at any size. */
  #sharesEvery(): number {
    const accounts = this.#options.configuration.accounts().size;
    const isMany = accounts * this.#gates.size > MANY_SHARES;
    return isMany ? SHARES_EVERY_TICKS_OF_MANY : SHARES_EVERY_TICKS;
  }

  #setShares(serviceId: string, gate: ServiceGate): void {
    const { configuration } = this.#options;
    const peers = this.#peers;
    const shares = new Map(
      [...configuration.accounts()].map(([id, account]) => [id, account.share]),
    );
    const fleet = computeFleetShares({
      totalConcurrency: this.#endpoints.capacityOf(serviceId),
      liveDaemons: this.#options.liveDaemons(),
      own: this.#demandOf(serviceId),
      peers: {
        daemons: peers.daemons,
        accounts: findServiceDemand(peers, serviceId)?.accounts ?? [],
      },
      shares,
    });
    gate.setLimit(fleet.concurrency);
    gate.queue.setShares(fleet.weights);
  }

  #demandOf(serviceId: string): readonly AccountDemand[] {
    const gate = this.#gates.get(serviceId);
    return this.#demand.read(serviceId, {
      backlogs: gate?.queue.backlogs() ?? [],
      parked: gate?.parked.map((call) => call.request.accountId) ?? [],
      now: this.#options.timer.now(),
    });
  }
}
