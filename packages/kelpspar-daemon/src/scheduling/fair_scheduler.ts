import type { AccountDemand, ServiceDemand } from "kelpspar-decisions/fairness";
import type { EndpointRegistry } from "kelpspar-decisions/routing";
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
import type { NoEndpointReason, WaitingCall } from "./service_gate.ts";
import {
  computeFleetShares,
  EMPTY_DEMAND,
  FairQueue,
  findServiceDemand,
} from "kelpspar-decisions/fairness";
import { comebackMilliseconds } from "kelpspar-decisions/retries";
import { chooseEndpoint } from "kelpspar-decisions/routing";
import { KelpsparError } from "kelpspar-shared";
import { createPermit } from "./create_permit.ts";
import { DemandMeter } from "./demand_meter.ts";
import { ServiceGate } from "./service_gate.ts";

const TICK_MILLISECONDS = 20;
/** The shares' arithmetic grows with accounts times services. */
const SHARES_EVERY_TICKS = 10;
const COMEBACK_MILLISECONDS = 500;
const SMALLEST_PART = 1e-3;

type Pool = NonNullable<ReturnType<EndpointRegistry["candidates"]>>;
type Tier = ReturnType<Pool["tiersFrom"]>[number];

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
  #ticks = 0;
  /** The peers' demand, merged once for all services. */
  #peers = EMPTY_DEMAND;

  constructor(options: FairSchedulerOptions) {
    this.#options = options;
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
    const gate = this.#gateOf(service);
    const queued = gate.isContended
      ? gate.queue.estimateWait(call.accountId, call.priority)
      : 0;
    return queued +
      this.#expectedWait(gate, { service, accountId: call.accountId });
  }

  expect(call: ExpectedCallName): () => void {
    return this.#options.parts.expected.add({
      serviceId: call.service,
      accountId: call.accountId,
      cost: this.#estimateCost(call),
    });
  }

  loadOf(
    request: Pick<PermitRequest, "service" | "model" | "exclude">,
  ): ServiceLoad {
    const gate = this.#gateOf(request.service);
    const endpoints = this.#countReady(request.service, request.model);
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
      capacitySeen: this.#capacityOf(serviceId),
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
        ? times.likely
        : times.minimum,
      estimatedCost: this.#estimateCost(request),
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
    const { timer, random } = this.#options;
    const gate = new ServiceGate({
      serviceId,
      queue: new FairQueue<WaitingCall>({
        random,
        boundsOf: (accountId) => this.#boundsOf(accountId),
      }),
      choose: (request) => this.#choose(request),
      now: () => timer.now(),
      comeback: () => comebackMilliseconds(COMEBACK_MILLISECONDS, { random }),
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

  #choose(request: PermitRequest): EndpointAddress | NoEndpointReason {
    const { parts, timer, random, availabilityZone } = this.#options;
    const chosen = chooseEndpoint(parts.registry, {
      service: request.service,
      ...(request.model === undefined ? {} : { model: request.model }),
      ...(request.adapter === undefined ? {} : { adapter: request.adapter }),
      ...(request.prefixHash === undefined
        ? {}
        : { prefixHash: request.prefixHash }),
      zone: availabilityZone,
      now: timer.now(),
      random,
      exclude: request.exclude,
      prefixes: parts.prefixes,
    });
    return "none" in chosen ? chosen.none : chosen;
  }

  /** What the calls of admitted requests, still to come, add to a wait. */
  #expectedWait(
    gate: ServiceGate,
    call: { readonly service: string; readonly accountId: string },
  ): number {
    const { service: serviceId, accountId } = call;
    const { parts, configuration } = this.#options;
    const contenders = new Set(parts.expected.accountsOf(serviceId));
    for (const backlog of gate.queue.backlogs()) {
      contenders.add(backlog.accountId);
    }
    contenders.add(accountId);
    const accounts = configuration.accounts();
    const shareOf = (id: string): number => accounts.get(id)?.share ?? 0;
    let total = 0;
    for (const id of contenders) total += shareOf(id);
    return parts.expected.waitOf({
      serviceId,
      accountId,
      concurrency: gate.concurrency,
      freeSlots: Math.max(0, gate.limit - gate.running - gate.waiting),
      part: Math.max(SMALLEST_PART, shareOf(accountId) / (total || 1)),
    });
  }

  #estimateCost(request: ExpectedCallName): number {
    return this.#options.parts.costs.estimate({
      serviceId: request.service,
      accountId: request.accountId,
      pipelineId: request.pipelineId,
      stageId: request.stageId,
    }).runnerMilliseconds;
  }

  #tick(): void {
    this.#ticks++;
    if (this.#ticks % SHARES_EVERY_TICKS === 0) {
      const { parts, timer } = this.#options;
      this.#peers = parts.fleet.peers(timer.now());
      for (const [id, gate] of this.#gates) this.#setShares(id, gate);
    }
    for (const gate of this.#gates.values()) gate.pump();
  }

  #setShares(serviceId: string, gate: ServiceGate): void {
    const { configuration } = this.#options;
    const peers = this.#peers;
    const shares = new Map(
      [...configuration.accounts()].map(([id, account]) => [id, account.share]),
    );
    const fleet = computeFleetShares({
      totalConcurrency: this.#capacityOf(serviceId),
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

  /** Calls the ready endpoints of a service run at a time, all together. */
  #capacityOf(serviceId: string): number {
    const now = this.#options.timer.now();
    let capacity = 0;
    for (const tier of this.#tiersOf(serviceId, undefined)) {
      for (const entry of tier) capacity += entry.capacityAt(now);
    }
    return capacity;
  }

  #countReady(serviceId: string, model: string | undefined): number {
    return this.#tiersOf(serviceId, model).reduce(
      (sum, tier) => sum + tier.length,
      0,
    );
  }

  #tiersOf(
    serviceId: string,
    model: string | undefined,
  ): readonly Tier[] {
    const { parts, availabilityZone } = this.#options;
    const pool = parts.registry.candidates(serviceId, model ?? "");
    return pool?.tiersFrom(availabilityZone) ?? [];
  }
}
