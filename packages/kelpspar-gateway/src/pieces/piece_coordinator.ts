import type { TimerService } from "kelpspar-shared";
import type { ConfigurationKeeper } from "../configuration/configuration_keeper.ts";
import type {
  EndpointGoneCause,
  EndpointRegistry,
} from "../endpoints/endpoint_registry.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { ServiceRetryBudget } from "../retries/service_retry_budget.ts";
import type { Placement } from "../placement/reader_place.ts";
import type { StageOutlook } from "./admit_chain.ts";
import type {
  ChainOutcome,
  ChainRefusal,
  PieceResult,
} from "./chain_outcome.ts";
import type { ChainRelease, ChainRequest } from "./chain_request.ts";
import type { PieceClient } from "./piece_call.ts";
import type { PieceTask } from "./piece_task.ts";
import { ReaderPlacement } from "../placement/reader_placement.ts";
import { admitChain } from "./admit_chain.ts";
import { backlogOf } from "./backlog.ts";
import { ChainRun } from "./chain_run.ts";
import { LeastShares } from "./least_shares.ts";
import { mostPlaceWait } from "./most_place_wait.ts";
import { RefusedCallers } from "./refused_callers.ts";
import { ResultFreer } from "./result_freer.ts";
import { ServiceDesk } from "./service_desk.ts";

/** A caller comes back this long after a stage failed, milliseconds. */
const FAILED_RETRY_MILLISECONDS = 400;
/** Time in which a daemon learns of the first endpoints, milliseconds. */
const NO_ENDPOINT_RETRY_MILLISECONDS = 1_000;
/** A chain whose results were lost so often is given up. */
const MOST_RESTARTS = 3;
/** How often the load of each service is written, milliseconds. */
const LOAD_LOG_MILLISECONDS = 500;
/** How often queues are looked through for what nothing else woke up. */
const SWEEP_MILLISECONDS = 50;

/** What a coordinator works with. */
export interface PieceCoordinatorOptions {
  readonly configuration: ConfigurationKeeper;
  readonly book: EndpointRegistry;
  readonly client: PieceClient;
  /** For the endpoints at which it places requests. */
  readonly gate: EndpointRateLimiter;
  readonly timer: TimerService;
  readonly budget: ServiceRetryBudget;
  readonly log: GatewayLog;
}

/**
 * Runs the stages of requests. One daemon does so for all, so that pieces of
 * requests that arrive at different daemons share calls. Which daemon that is
 * needs no agreement for safety: two that both take themselves for it only
 * share calls less well, since a piece may be made again.
 */
export class PieceCoordinator {
  readonly #options: PieceCoordinatorOptions;
  readonly #desks = new Map<string, ServiceDesk>();
  readonly #chains = new Set<ChainRun>();
  readonly #readers: ReaderPlacement;
  readonly #refused = new RefusedCallers();
  readonly #shares = new LeastShares();
  /** Chains that are done and wait until an endpoint takes their request. */
  readonly #unplaced = new Set<ChainRun>();
  readonly #freer: ResultFreer;
  /** Ends the timers that run while chains are open. */
  #stopTimers: (() => void) | undefined;

  constructor(options: PieceCoordinatorOptions) {
    this.#options = options;
    this.#readers = new ReaderPlacement(options);
    this.#freer = new ResultFreer({
      client: options.client,
      timer: options.timer,
      onFreed: (results) => this.#freed(results),
    });
  }

  get openChains(): number {
    return this.#chains.size;
  }

  /** Subscribes to endpoints, configurations and time; returns the teardown. */
  register(): () => void {
    const { book, configuration } = this.#options;
    const teardowns = [
      this.#readers.register(),
      book.registerGone((id, cause) => this.#endpointGone(id, cause)),
      book.registerEvacuation(() => this.#zonesEvacuated()),
      configuration.registerListener(() => this.#takeTerms()),
      () => this.#stopTimers?.(),
    ];
    return () => teardowns.forEach((teardown) => teardown());
  }

  /** Runs a chain; `signal` ends it when its caller is gone. */
  run(asked: ChainRequest, signal: AbortSignal): Promise<ChainOutcome> {
    const request = this.#withOwnShare(this.#sinceFirstAsked(asked));
    const refusal = this.#admit(request);
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const now = this.#options.timer.now();
      const readerZone = this.#readers.zoneOfHolder(request.reader);
      const chain = new ChainRun({ request, now, readerZone, settle: resolve });
      this.#chains.add(chain);
      this.#startTimers();
      signal.addEventListener(
        "abort",
        () => this.#close(chain, refuse("too_late", 0)),
        { once: true },
      );
      this.#enqueue(chain.startReady());
      this.#settleIfDone(chain);
      if (signal.aborted) this.#close(chain, refuse("too_late", 0));
    });
  }

  /** Takes in that a request was read or won't be, and frees its results. */
  release({ attemptId, results }: ChainRelease): void {
    this.#readers.ended(attemptId);
    this.#freer.free(results);
  }

  /**
   * The room is there once the maker said so. Counted when it was asked, the
   * next call came before it and was turned away for want of room.
   */
  #freed(results: readonly PieceResult[]): void {
    for (const result of results) {
      for (const desk of this.#desks.values()) desk.freed(result);
    }
    this.#pumpAll();
  }

  /** The request with its objective counted from when its caller first asked. */
  #sinceFirstAsked(request: ChainRequest): ChainRequest {
    const age = this.#refused.ageOf(request.pieceKey, this.#now());
    return {
      ...request,
      objectiveMilliseconds: request.objectiveMilliseconds - age,
    };
  }

  /** The request in front if its kind gets less than its share. */
  #withOwnShare(request: ChainRequest): ChainRequest {
    const isOwed = this.#shares.isOwed(request.kind, this.#now());
    if (!isOwed) return request;
    const others = [...this.#chains].map((chain) => chain.request.priority);
    return { ...request, priority: Math.min(request.priority, ...others) };
  }

  #countEnd({ kind, pieceKey }: ChainRequest, isOnTime: boolean): void {
    const now = this.#now();
    // A caller that comes back was counted when it was sent away.
    if (!this.#refused.has(pieceKey)) this.#shares.ended(kind, isOnTime, now);
    else if (isOnTime) this.#shares.servedAfterAll(kind, now);
  }

  #now(): number {
    return this.#options.timer.now();
  }

  #admit(request: ChainRequest): ChainOutcome | undefined {
    const used = request.stages.map((stage) =>
      stage.pieces === 0 ? undefined : this.#deskOf(stage.service)
    );
    const isMissing = request.stages.some((stage, number) =>
      stage.pieces > 0 && used[number]?.hasEndpoints !== true
    );
    if (isMissing) return refuse("no_endpoint", NO_ENDPOINT_RETRY_MILLISECONDS);
    const stages = request.stages.map((stage, number) => ({
      backlog: backlogOf(stage.service, {
        desk: used[number],
        chains: this.#chains,
        priority: request.priority,
      }),
      work: used[number]?.workTime(stage.pieces) ?? 0,
      after: stage.after,
    }));
    const admission = admitChain({
      stages: [...stages, this.#placing(request)],
      tail: request.tailMilliseconds,
      objective: request.objectiveMilliseconds,
      remaining: request.remainingMilliseconds,
      priority: request.priority,
    });
    const isAdmitted = admission.type === "admitted";
    this.#options.log.info(isAdmitted ? "chain admitted" : "chain refused", {
      attempt: request.attemptId,
      expectedMilliseconds: Math.round(admission.expected),
      objectiveMilliseconds: Math.round(request.objectiveMilliseconds),
      openChains: this.#chains.size,
      priority: request.priority,
    });
    if (isAdmitted) return undefined;
    this.#countEnd(request, false);
    this.#refused.record(request.pieceKey, this.#now());
    return refuse("overloaded", admission.retryAfterMilliseconds);
  }

  /** Placing at endpoints with limits, as a stage after all others. */
  #placing({ reader, stages }: ChainRequest): StageOutlook {
    const after = stages.map((_, number) => number);
    if (reader === undefined) return { backlog: 0, work: 0, after };
    const ahead =
      [...this.#chains].filter((one) =>
        one.request.reader?.service === reader.service
      ).length;
    const backlog = this.#readers.waitBehind(reader.service, ahead);
    return { backlog, work: 0, after };
  }

  #deskOf(service: string): ServiceDesk | undefined {
    const known = this.#desks.get(service);
    if (known !== undefined) return known;
    const { configuration, ...parts } = this.#options;
    const terms = configuration.table?.findService(service)?.pieces;
    if (terms === undefined) return undefined;
    const desk = new ServiceDesk({
      ...parts,
      service,
      terms,
      free: (results) => this.#freer.free(results),
      events: {
        made: (task) => this.#made(task),
        inputsGone: (task) =>
          this.#restart(task.chain, task.chain.forgetInputs(task.stage)),
        failed: (chain, reason) =>
          this.#fail(chain, refuse(reason, FAILED_RETRY_MILLISECONDS)),
      },
    });
    this.#desks.set(service, desk);
    return desk;
  }

  #enqueue(tasks: readonly PieceTask[]): void {
    const touched = new Set<ServiceDesk>();
    for (const task of tasks) {
      const desk = this.#deskOf(task.chain.stage(task.stage).service);
      if (desk === undefined) continue;
      desk.enqueue([task]);
      touched.add(desk);
    }
    for (const desk of touched) desk.pump();
  }

  #made(task: PieceTask): void {
    const { chain } = task;
    if (!chain.isStageDone(task.stage)) return;
    this.#freer.free(chain.takeUnneeded());
    if (!this.#settleIfDone(chain)) this.#enqueue(chain.startReady());
  }

  #settleIfDone(chain: ChainRun): boolean {
    if (!chain.isDone()) return false;
    const placement = this.#placeReader(chain);
    if (placement.type === "over_limit") {
      this.#waitForPlace(chain, placement.waitMilliseconds);
      return true;
    }
    this.#chains.delete(chain);
    const results = chain.finalResults();
    const endsAt = this.#now() + chain.request.tailMilliseconds;
    this.#countEnd(chain.request, endsAt <= chain.objectiveAt);
    const place = placement.type === "placed" ? placement.place : undefined;
    chain.settle({ type: "done", results, place });
    return true;
  }

  #placeReader(chain: ChainRun): Placement {
    const { attemptId, reader } = chain.request;
    if (reader === undefined) return { type: "no_endpoint" };
    return this.#readers.place(attemptId, reader, chain.finalInputs());
  }

  /** Keeps a chain until an endpoint takes its request, if that is in time. */
  #waitForPlace(chain: ChainRun, waitMilliseconds: number): void {
    const now = this.#now();
    const { tailMilliseconds } = chain.request;
    const isWaiting = waitMilliseconds <= mostPlaceWait({
      hasPieces: chain.request.stages.some(({ pieces }) => pieces > 0),
      slack: chain.objectiveAt - now - tailMilliseconds,
      remaining: chain.deadlineAt - now - tailMilliseconds,
    });
    if (isWaiting) this.#unplaced.add(chain);
    else this.#fail(chain, refuse("over_limit", waitMilliseconds));
  }

  #placeWaiting(): void {
    for (const chain of [...this.#unplaced]) {
      this.#unplaced.delete(chain);
      if (chain.isOpen) this.#settleIfDone(chain);
    }
  }

  #fail(chain: ChainRun, outcome: ChainOutcome): void {
    if (chain.isOpen) this.#countEnd(chain.request, false);
    this.#close(chain, outcome);
  }

  #close(chain: ChainRun, outcome: ChainOutcome): void {
    if (!chain.isOpen) return;
    this.#chains.delete(chain);
    chain.settle(outcome);
    for (const desk of this.#desks.values()) desk.chainClosed(chain);
    this.#freer.free(chain.takeAll());
  }

  /**
   * One that is leaving ends its calls and keeps its results for a while. Made
   * again at once, they took the time of the chain and of another endpoint.
   */
  #endpointGone(id: string, cause: EndpointGoneCause): void {
    if (cause === "leaving") {
      for (const desk of this.#desks.values()) desk.endpointLeaving(id);
      return;
    }
    for (const desk of this.#desks.values()) desk.endpointGone(id);
    for (const chain of [...this.#chains]) {
      this.#restart(chain, chain.forgetMaker(id));
    }
  }

  /** Ends chains that wait for endpoints of which none may be used. */
  #zonesEvacuated(): void {
    const { book } = this.#options;
    const lost = [...this.#desks].filter(([service]) =>
      book.isEvacuated(service)
    ).map(([, desk]) => desk);
    for (const chain of [...this.#chains]) {
      if (!lost.some((desk) => desk.hasWaiting(chain))) continue;
      this.#fail(chain, refuse("no_endpoint", NO_ENDPOINT_RETRY_MILLISECONDS));
    }
  }

  #restart(chain: ChainRun, tasks: readonly PieceTask[]): void {
    if (chain.restarts <= MOST_RESTARTS) this.#enqueue(tasks);
    else this.#fail(chain, refuse("failing", FAILED_RETRY_MILLISECONDS));
  }

  #takeTerms(): void {
    const { table } = this.#options.configuration;
    for (const [service, desk] of this.#desks) {
      const terms = table?.findService(service)?.pieces;
      if (terms !== undefined) desk.terms = terms;
    }
  }

  /** Most daemons run no chains, and wake for nothing. */
  #startTimers(): void {
    if (this.#stopTimers !== undefined) return;
    const { timer } = this.#options;
    const teardowns = [
      timer.registerInterval(() => this.#sweep(), SWEEP_MILLISECONDS),
      timer.registerInterval(() => this.#logLoad(), LOAD_LOG_MILLISECONDS),
    ];
    this.#stopTimers = () => teardowns.forEach((teardown) => teardown());
  }

  #sweep(): void {
    this.#placeWaiting();
    if (this.#chains.size > 0) return this.#pumpAll();
    this.#stopTimers?.();
    this.#stopTimers = undefined;
  }

  #logLoad(): void {
    for (const desk of this.#desks.values()) desk.logLoad();
  }

  #pumpAll(): void {
    for (const desk of this.#desks.values()) desk.pump();
  }
}

function refuse(
  reason: ChainRefusal,
  retryAfterMilliseconds: number,
): ChainOutcome {
  return { type: "refused", reason, retryAfterMilliseconds };
}
