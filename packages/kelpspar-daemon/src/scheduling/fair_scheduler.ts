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
import type { ExpectedCallKey, Scheduler, ServiceLoad } from "./scheduler.ts";
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
import { EndpointSelector } from "./endpoint_selector.ts";
import { WaitEstimator } from "./wait_estimator.ts";
import { ServiceDispatcher } from "./service_dispatcher.ts";

const TICK_MILLISECONDS = 20;
const SHARE_UPDATE_TICKS = 10;
/** The cost of computing shares grows with accounts times services. */
const LARGE_SITE_SHARE_UPDATE_TICKS = 50;
const LARGE_SITE_SHARE_COUNT = 500;
const RETRY_AFTER_MILLISECONDS = 500;
/** Memory for the queued calls of all services together. */
const MAXIMUM_TOTAL_QUEUED_BYTES = 64 * 1024 * 1024;

/** Options of `FairScheduler`. */
export interface FairSchedulerOptions {
  readonly parts: DecisionParts;
  readonly configuration: ConfigurationIndexReader;
  readonly availabilityZone: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
  /** Number of live daemons, this one included. */
  readonly liveDaemons: () => number;
  /** Called with the time that a call waited for its permit. */
  readonly onWait: (request: PermitRequest, milliseconds: number) => void;
}

/**
 * Schedules stages: one dispatcher per service shares its slots fairly among
 * client accounts, and an endpoint is selected for each call.
 */
export class FairScheduler implements Scheduler {
  readonly #options: FairSchedulerOptions;
  readonly #dispatchers = new Map<string, ServiceDispatcher>();
  readonly #demandMeter = new DemandMeter();
  readonly #endpoints: EndpointSelector;
  readonly #waitEstimator: WaitEstimator;
  #ticks = 0;
  /** The other daemons' demand, merged once for all services. */
  #peerDemand = EMPTY_DEMAND;

  constructor(options: FairSchedulerOptions) {
    this.#options = options;
    const { parts, configuration } = options;
    this.#endpoints = new EndpointSelector({ ...options, ...parts });
    this.#waitEstimator = new WaitEstimator({ ...parts, configuration });
  }

  /** Starts the periodic tick; returns the teardown. */
  start(): () => void {
    return this.#options.timer.registerInterval(
      () => this.#tick(),
      TICK_MILLISECONDS,
    );
  }

  acquire(request: PermitRequest): Promise<Permit> {
    return new Promise((resolve, reject) => {
      if (request.signal.aborted) return reject(request.signal.reason);
      const dispatcher = this.#dispatcherOf(request.service);
      // The call may be refused before `cancel` is assigned.
      let cancel = (): void => {};
      const stopListening = (): void =>
        request.signal.removeEventListener("abort", cancel);
      const call: WaitingCall = {
        request,
        chargedCost: 0,
        waitingSince: this.#options.timer.now(),
        grant: (endpoint) => {
          stopListening();
          resolve(this.#grant(dispatcher, call, endpoint));
        },
        refuse: (error) => {
          stopListening();
          reject(error);
        },
      };
      const ticket = this.#enqueue(dispatcher, call);
      if (ticket === undefined) return;
      cancel = (): void => {
        if (!dispatcher.queue.remove(ticket)) dispatcher.cancelParked(call);
        reject(request.signal.reason);
      };
      request.signal.addEventListener("abort", cancel);
      dispatcher.dispatch();
    });
  }

  estimateWait(
    service: string,
    call: { readonly accountId: string; readonly priority: number },
  ): number {
    return this.#waitEstimator.estimate(this.#dispatcherOf(service), {
      service,
      ...call,
    });
  }

  expect(call: ExpectedCallKey): () => void {
    return this.#waitEstimator.expect(call);
  }

  loadOf(
    request: Pick<PermitRequest, "service" | "model" | "exclude">,
  ): ServiceLoad {
    const dispatcher = this.#dispatcherOf(request.service);
    const endpoints = this.#endpoints.count(
      request.service,
      request.model,
    );
    return {
      waiting: dispatcher.waiting,
      utilization: dispatcher.running / dispatcher.limit,
      otherEndpoints: Math.max(0, endpoints - request.exclude.size),
    };
  }

  /** The accounts' demand for each service, for this daemon's digest. */
  demands(): readonly ServiceDemand[] {
    return [...this.#dispatchers.keys()].sort().map((serviceId) => ({
      serviceId,
      capacitySeen: this.#endpoints.capacityOf(serviceId),
      accounts: this.#demandOf(serviceId),
    }));
  }

  #enqueue(
    dispatcher: ServiceDispatcher,
    call: WaitingCall,
  ): number | undefined {
    const { request } = call;
    const { parts, timer } = this.#options;
    const now = timer.now();
    const times = parts.stageTimes.remainingTimes(
      request.pipelineId,
      request.stageIds,
      now,
    );
    const result = dispatcher.queue.enqueue({
      accountId: request.accountId,
      priority: request.priority,
      deadlineAt: request.deadlineAt,
      // Under contention, a slot granted to a call that will probably miss its
      // deadline is lost to one that would meet it.
      minimumRemainingMilliseconds: dispatcher.isContended
        ? times.estimatedP95
        : times.minimum,
      estimatedCost: this.#waitEstimator.costOf(request),
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
    dispatcher: ServiceDispatcher,
    call: WaitingCall,
    endpoint: EndpointAddress,
  ): Permit {
    const { request } = call;
    const { parts, timer } = this.#options;
    this.#options.onWait(request, timer.now() - call.waitingSince);
    this.#demandMeter.started(request.service, request.accountId);
    return createPermit({
      parts,
      timer,
      request,
      endpoint,
      chargedCost: call.chargedCost,
      charge: (difference) =>
        dispatcher.queue.charge(request.accountId, difference),
      onEnd: (ended) => {
        this.#demandMeter.ended(request.service, {
          accountId: request.accountId,
          cost: ended.cost,
        });
        dispatcher.callEnded(ended);
      },
    });
  }

  #dispatcherOf(serviceId: string): ServiceDispatcher {
    const existing = this.#dispatchers.get(serviceId);
    if (existing !== undefined) return existing;
    const { timer, random, configuration } = this.#options;
    const dispatcher = new ServiceDispatcher({
      serviceId,
      queue: new FairQueue<WaitingCall>({
        random,
        boundsOf: (accountId) => this.#queueLimitsOf(accountId),
        maximumTotalBytes: Math.floor(
          MAXIMUM_TOTAL_QUEUED_BYTES /
            Math.max(1, configuration.services().size),
        ),
      }),
      choose: (request) => this.#endpoints.choose(request),
      now: () => timer.now(),
      jitteredRetryAfter: () =>
        retryDelayMilliseconds(RETRY_AFTER_MILLISECONDS, { random }),
    });
    this.#dispatchers.set(serviceId, dispatcher);
    this.#setShares(serviceId, dispatcher);
    return dispatcher;
  }

  #queueLimitsOf(accountId: string): {
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
    if (this.#ticks % this.#shareUpdateTicks() === 0) {
      const { parts, timer } = this.#options;
      this.#peerDemand = parts.fleet.peers(timer.now());
      for (const [id, entry] of this.#dispatchers) this.#setShares(id, entry);
    }
    for (const dispatcher of this.#dispatchers.values()) dispatcher.dispatch();
  }

  /** Ticks between share updates; lent share is reclaimed within a second. */
  #shareUpdateTicks(): number {
    const accounts = this.#options.configuration.accounts().size;
    const isMany = accounts * this.#dispatchers.size > LARGE_SITE_SHARE_COUNT;
    return isMany ? LARGE_SITE_SHARE_UPDATE_TICKS : SHARE_UPDATE_TICKS;
  }

  #setShares(serviceId: string, dispatcher: ServiceDispatcher): void {
    const { configuration } = this.#options;
    const peers = this.#peerDemand;
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
    dispatcher.setLimit(fleet.concurrency);
    dispatcher.queue.setShares(fleet.weights);
  }

  #demandOf(serviceId: string): readonly AccountDemand[] {
    const dispatcher = this.#dispatchers.get(serviceId);
    return this.#demandMeter.read(serviceId, {
      backlogs: dispatcher?.queue.backlogs() ?? [],
      parked: dispatcher?.parked.map((call) => call.request.accountId) ?? [],
      now: this.#options.timer.now(),
    });
  }
}
