import type { TimerService } from "kelpspar-shared";
import type { ActiveConfiguration } from "../configuration/active_configuration.ts";
import type {
  EndpointGoneCause,
  EndpointRegistry,
} from "../endpoints/endpoint_registry.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { LoopDelay } from "../load/loop_delay.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { Placement } from "../placement/reader_place.ts";
import type { ChainAdmission, StageForecast } from "./admit_chain.ts";
import type {
  ChainOutcome,
  ChainRefusal,
  PieceResult,
} from "./chain_outcome.ts";
import type { ChainRelease, ChainRequest } from "./chain_request.ts";
import type { PieceClient } from "./piece_call.ts";
import type { PieceRetryGate } from "./piece_retries.ts";
import type { PieceTask } from "./piece_task.ts";
import type { ResultUse } from "./kept_results.ts";
import type { RetainedChain } from "./retained_results.ts";
import { ReaderPlacement } from "../placement/reader_placement.ts";
import { admitChain } from "./admit_chain.ts";
import { chainKeyOf } from "./chain_key.ts";
import { backlogOf } from "./backlog.ts";
import { ChainRun } from "./chain_run.ts";
import { findRepeatedStages } from "./find_repeated_stages.ts";
import { StarvationMonitor } from "./starvation_monitor.ts";
import { maxPlacementWait } from "./max_placement_wait.ts";
import { OpenWork } from "./open_work.ts";
import { RefusedCallers } from "./refused_callers.ts";
import { ResultFreer } from "./result_freer.ts";
import { RetainedResults } from "./retained_results.ts";
import { StageScheduler } from "./stage_scheduler.ts";

/** Retry delay sent to callers after a stage failed. */
const FAILED_RETRY_MILLISECONDS = 400;
/** Retry delay without endpoints: time to learn of the first ones. */
const NO_ENDPOINT_RETRY_MILLISECONDS = 1_000;
/** A chain fails after more restarts because of lost results. */
const MAX_RESTARTS = 3;
/** Least time until results expire that are read once more. */
const MINIMUM_READ_MILLISECONDS = 300;
/** How often the load of each service is logged. */
const LOAD_LOG_MILLISECONDS = 500;
/** How often queues are checked for work that no event dispatched. */
const SWEEP_MILLISECONDS = 50;

/** Dependencies of `PieceCoordinator`. */
export interface PieceCoordinatorOptions {
  readonly configuration: ActiveConfiguration;
  readonly registry: EndpointRegistry;
  readonly client: PieceClient;
  /** For endpoints of stages and for those at which it places requests. */
  readonly rateLimiter: EndpointRateLimiter;
  readonly timer: TimerService;
  readonly retryGate: PieceRetryGate;
  /** True while this daemon reaches no endpoint. */
  readonly isIsolated: () => boolean;
  /** How late this process handles events; sampled while chains are open. */
  readonly loopDelay: Pick<LoopDelay, "register" | "milliseconds">;
  /** Frees results whose makers this daemon doesn't reach, at another one. */
  readonly freeElsewhere: (results: readonly PieceResult[]) => void;
  readonly log: GatewayLog;
}

/**
 * Runs the stages of requests. One daemon, the coordinator, does so for all, so
 * that pieces of requests from different daemons share calls. Safety needs no
 * agreement on the coordinator, since a piece may be made again: two daemons
 * that both act as coordinator only batch calls less well.
 */
export class PieceCoordinator {
  readonly #options: PieceCoordinatorOptions;
  readonly #schedulers = new Map<string, StageScheduler>();
  readonly #chains = new Set<ChainRun>();
  readonly #work = new OpenWork();
  readonly #placement: ReaderPlacement;
  readonly #refused = new RefusedCallers();
  readonly #monitor = new StarvationMonitor();
  /** Chains whose stages are done and whose request waits for an endpoint. */
  readonly #unplaced = new Set<ChainRun>();
  readonly #freer: ResultFreer;
  readonly #retained = new RetainedResults();
  /** Stops the timers that run while chains are open. */
  #stopTimers: (() => void) | undefined;

  constructor(options: PieceCoordinatorOptions) {
    this.#options = options;
    this.#placement = new ReaderPlacement(options);
    this.#freer = new ResultFreer({
      client: options.client,
      timer: options.timer,
      onFreed: (results) => this.#resultsFreed(results),
      mayFree: () => !options.isIsolated(),
      onFailed: (results) => {
        this.#setUse(results, "used");
        if (options.isIsolated()) options.freeElsewhere(results);
      },
    });
  }

  get openChains(): number {
    return this.#chains.size;
  }

  /** Subscribes to endpoint and configuration changes; returns the teardown. */
  register(): () => void {
    const { registry, configuration } = this.#options;
    const teardowns = [
      this.#placement.register(),
      registry.registerGone((id, cause) => this.#endpointGone(id, cause)),
      registry.registerEvacuation(() => this.#zonesEvacuated()),
      configuration.registerListener(() => this.#updateTerms()),
      () => this.#stopTimers?.(),
    ];
    return () => teardowns.forEach((teardown) => teardown());
  }

  /** Runs a chain; `signal` cancels it when its caller is gone. */
  run(received: ChainRequest, signal: AbortSignal): Promise<ChainOutcome> {
    const request = this.#withStarvationPriority(
      this.#withObjectiveOfFirstAttempt(received),
    );
    const retained = signal.aborted ? undefined : this.#claim(request);
    const refusal = retained === undefined ? this.#admit(request) : undefined;
    if (refusal !== undefined) return Promise.resolve(refusal);
    return new Promise((resolve) => {
      const now = this.#options.timer.now();
      const readerZone = this.#placement.zoneOfCachedPrompt(request.reader);
      const repeatedStages = this.#findRepeatedStages(request);
      const chain = new ChainRun({
        request,
        now,
        readerZone,
        repeatedStages,
        work: this.#work,
        settle: resolve,
      });
      if (retained !== undefined) {
        chain.restoreFinalResults(retained.results, retained.expiresAt);
      }
      this.#chains.add(chain);
      this.#startTimers();
      signal.addEventListener(
        "abort",
        () => this.#close(chain, refuse("too_late", 0)),
        { once: true },
      );
      if (!this.#settleIfDone(chain)) this.#enqueue(chain.startReady());
      if (signal.aborted) this.#close(chain, refuse("too_late", 0));
    });
  }

  /** Ends all chains; daemons that sent them run them elsewhere. */
  abandonChains(): void {
    for (const chain of [...this.#chains]) {
      this.#close(chain, refuse("isolated", NO_ENDPOINT_RETRY_MILLISECONDS));
    }
    this.#freeEvicted(this.#retained.evictAll());
  }

  /**
   * Records that a request was read, or won't be, and frees its results, or
   * retains them if it may read them once more.
   */
  release(release: ChainRelease): void {
    const { attemptId, results, load, retainFor } = release;
    this.#placement.recordEnd(attemptId, load);
    const expiresAt = retainFor === undefined
      ? undefined
      : this.#expiryOf(results);
    if (retainFor === undefined || expiresAt === undefined) {
      this.#freer.free(this.#retained.end(results));
      return;
    }
    this.#retain({ attemptId, chainKey: retainFor, results, expiresAt });
  }

  /** When the first result expires; undefined if one isn't counted here. */
  #expiryOf(results: readonly PieceResult[]): number | undefined {
    const schedulers = [...this.#schedulers.values()];
    const expiries = results.map((result) =>
      schedulers.map((scheduler) => scheduler.expiryOf(result))
        .find((expiry) => expiry !== undefined)
    );
    const known = expiries.filter((expiry) => expiry !== undefined);
    return results.length > 0 && known.length === results.length
      ? Math.min(...known)
      : undefined;
  }

  #retain(chain: RetainedChain): void {
    this.#retained.removeExpired(this.#now());
    const earlier = this.#retained.add(chain);
    if (earlier !== undefined) this.#freeEvicted([earlier]);
    this.#setUse(chain.results, "retained");
    const makerIds = new Set(chain.results.map(({ makerId }) => makerId));
    for (const makerId of makerIds) {
      for (const scheduler of this.#schedulers.values()) {
        scheduler.reclaimRoom(makerId);
      }
    }
    // Results that there is no room to retain are freed like all others.
    const isRetained = this.#retained.has(chain.attemptId);
    if (!isRetained) this.#setUse(chain.results, "used");
  }

  /** Takes the results of a chain that its request reads once more. */
  #claim(request: ChainRequest): RetainedChain | undefined {
    const hasPieces = request.stages.some(({ pieces }) => pieces > 0);
    if (!hasPieces) return undefined;
    const chain = this.#retained.take(request.attemptId);
    if (chain === undefined) return undefined;
    const remaining = chain.expiresAt - this.#now();
    const isUsable = chain.chainKey === chainKeyOf(request) &&
      remaining >= MINIMUM_READ_MILLISECONDS;
    this.#options.log.info("retained results claimed", {
      attempt: request.attemptId,
      isUsable,
      results: chain.results.length,
      remainingMilliseconds: Math.round(remaining),
    });
    if (!isUsable) {
      this.#freeEvicted([chain]);
      return undefined;
    }
    this.#setUse(chain.results, "used");
    return chain;
  }

  #freeRetained(makerId: string): boolean {
    this.#retained.removeExpired(this.#now());
    const chain = this.#retained.evictOldestAt(makerId);
    if (chain === undefined) return false;
    this.#freeEvicted([chain]);
    return true;
  }

  #freeEvicted(chains: readonly RetainedChain[]): void {
    for (const { results } of chains) {
      this.#setUse(results, "freeing");
      this.#freer.free(results);
    }
  }

  #setUse(results: readonly PieceResult[], use: ResultUse): void {
    for (const result of results) {
      for (const scheduler of this.#schedulers.values()) {
        scheduler.setUse(result, use);
      }
    }
  }

  /**
   * Room counts as free once the maker has confirmed it. If it counted as free
   * when the release is sent, the next call could arrive first and be rejected
   * for lack of room.
   */
  #resultsFreed(results: readonly PieceResult[]): void {
    for (const result of results) {
      for (const scheduler of this.#schedulers.values()) scheduler.drop(result);
    }
    this.#dispatchAll();
  }

  /** Returns the request with its objective counted from the first attempt. */
  #withObjectiveOfFirstAttempt(request: ChainRequest): ChainRequest {
    const age = this.#refused.ageOf(request.pieceKey, this.#now());
    return {
      ...request,
      objectiveMilliseconds: request.objectiveMilliseconds - age,
    };
  }

  /** Returns the request with the highest open priority if its kind is starved. */
  #withStarvationPriority(request: ChainRequest): ChainRequest {
    const isStarved = this.#monitor.isStarved(request.kind, this.#now());
    if (!isStarved) return request;
    const others = [...this.#chains].map((chain) => chain.request.priority);
    return { ...request, priority: Math.min(request.priority, ...others) };
  }

  #recordEnd({ kind, pieceKey }: ChainRequest, isOnTime: boolean): void {
    const now = this.#now();
    // A retrying caller was counted when it was refused.
    if (!this.#refused.has(pieceKey)) this.#monitor.ended(kind, isOnTime, now);
    else if (isOnTime) this.#monitor.servedOnRetry(kind, now);
  }

  #now(): number {
    return this.#options.timer.now();
  }

  #admit(request: ChainRequest): ChainOutcome | undefined {
    const used = request.stages.map((stage) =>
      stage.pieces === 0 ? undefined : this.#schedulerOf(stage.service)
    );
    const isMissing = request.stages.some((stage, number) =>
      stage.pieces > 0 && used[number]?.hasEndpoints !== true
    );
    if (isMissing) return refuse("no_endpoint", NO_ENDPOINT_RETRY_MILLISECONDS);
    const isUnderserved = this.#monitor.isUnderserved(
      request.kind,
      this.#now(),
    );
    const stages = request.stages.map((stage, number) => ({
      backlog: backlogOf(stage.service, {
        scheduler: used[number],
        work: this.#work,
        priority: request.priority,
      }),
      work: used[number]?.workTime(stage.pieces) ?? 0,
      after: stage.after,
      // Only underserved classes are admitted by turns.
      turn: isUnderserved ? used[number]?.turnTime() ?? 0 : 0,
    }));
    const admission = admitChain({
      stages: [...stages, this.#placementForecast(request)],
      tail: request.tailMilliseconds,
      objective: request.objectiveMilliseconds,
      remaining: request.remainingMilliseconds,
      priority: request.priority,
      loopDelay: this.#options.loopDelay.milliseconds,
      isUnderserved,
    });
    this.#logAdmission(request, admission);
    if (admission.type === "admitted") return undefined;
    this.#recordEnd(request, false);
    this.#refused.record(request.pieceKey, this.#now());
    return refuse("overloaded", admission.retryAfterMilliseconds);
  }

  #logAdmission(request: ChainRequest, admission: ChainAdmission): void {
    const { log, loopDelay } = this.#options;
    const fields = {
      attempt: request.attemptId,
      expectedMilliseconds: Math.round(admission.expected),
      limitMilliseconds: Math.round(admission.limit.milliseconds),
      limitCause: admission.limit.cause,
      objectiveMilliseconds: Math.round(request.objectiveMilliseconds),
      loopDelayMilliseconds: Math.round(loopDelay.milliseconds),
      openChains: this.#chains.size,
      priority: request.priority,
    };
    if (admission.type === "admitted") {
      return log.info("chain admitted", fields);
    }
    const shares = this.#monitor.sharesOf(request.kind, this.#now());
    log.info("chain refused", {
      ...fields,
      kind: request.kind,
      onTimeShare: Number(shares.own.toFixed(2)),
      onTimeShareOfAll: Number(shares.all.toFixed(2)),
    });
  }

  /** Placement at endpoints with limits, as a stage after all others. */
  #placementForecast({ reader, stages }: ChainRequest): StageForecast {
    const after = stages.map((_, number) => number);
    if (reader === undefined) return { backlog: 0, work: 0, after, turn: 0 };
    const backlog = this.#placement.queueWait(
      reader.service,
      () => this.#countReadersOf(reader.service),
    );
    return { backlog, work: 0, after, turn: 0 };
  }

  /** Number of open chains whose request a service will run. */
  #countReadersOf(service: string): number {
    let count = 0;
    for (const { request } of this.#chains) {
      if (request.reader?.service === service) count++;
    }
    return count;
  }

  /** Stages that an earlier run of the chain may have begun. */
  #findRepeatedStages(request: ChainRequest): ReadonlySet<number> {
    const { configuration } = this.#options;
    return findRepeatedStages(
      request,
      (service) =>
        configuration.table?.findService(service)?.pieces?.callMilliseconds ??
          0,
    );
  }

  #schedulerOf(service: string): StageScheduler | undefined {
    const known = this.#schedulers.get(service);
    if (known !== undefined) return known;
    const { configuration, ...parts } = this.#options;
    const terms = configuration.table?.findService(service)?.pieces;
    if (terms === undefined) return undefined;
    const scheduler = new StageScheduler({
      ...parts,
      service,
      terms,
      free: (results) => this.#freer.free(results),
      freeRetained: (makerId) => this.#freeRetained(makerId),
      events: {
        made: (task) => this.#pieceMade(task),
        inputsGone: (task) =>
          this.#restart(task.chain, task.chain.invalidateInputs(task.stage)),
        failed: (chain, reason) => {
          const wait = reason === "retry_budget"
            ? parts.retryGate.retryAfterMilliseconds(service)
            : FAILED_RETRY_MILLISECONDS;
          this.#fail(chain, refuse(reason, wait));
        },
      },
    });
    this.#schedulers.set(service, scheduler);
    return scheduler;
  }

  #enqueue(tasks: readonly PieceTask[]): void {
    const changed = new Set<StageScheduler>();
    for (const task of tasks) {
      const scheduler = this.#schedulerOf(task.chain.stage(task.stage).service);
      if (scheduler === undefined) continue;
      scheduler.enqueue([task]);
      changed.add(scheduler);
    }
    for (const scheduler of changed) scheduler.dispatch();
  }

  #pieceMade(task: PieceTask): void {
    const { chain } = task;
    if (!chain.isStageDone(task.stage)) return;
    this.#freer.free(chain.releaseUnneeded());
    if (!this.#settleIfDone(chain)) this.#enqueue(chain.startReady());
  }

  #settleIfDone(chain: ChainRun): boolean {
    if (!chain.isDone()) return false;
    const placement = this.#placeReader(chain);
    if (placement.type === "over_limit") {
      this.#waitForPlacement(chain, placement.waitMilliseconds);
      return true;
    }
    this.#chains.delete(chain);
    const results = chain.finalResults();
    const endsAt = this.#now() + chain.request.tailMilliseconds;
    this.#recordEnd(chain.request, endsAt <= chain.objectiveAt);
    const place = placement.type === "placed" ? placement.place : undefined;
    chain.settle({ type: "done", results, place });
    return true;
  }

  #placeReader(chain: ChainRun): Placement {
    const { attemptId, reader } = chain.request;
    if (reader === undefined) return { type: "no_endpoint" };
    return this.#placement.place(attemptId, reader, chain.finalInputs());
  }

  /** Keeps a chain until an endpoint has capacity, if that is in time. */
  #waitForPlacement(chain: ChainRun, waitMilliseconds: number): void {
    const now = this.#now();
    const { tailMilliseconds } = chain.request;
    const isWaiting = waitMilliseconds <= maxPlacementWait({
      hasPieces: chain.request.stages.some(({ pieces }) => pieces > 0),
      slack: chain.objectiveAt - now - tailMilliseconds,
      remaining: chain.deadlineAt - now - tailMilliseconds,
    });
    if (isWaiting) this.#unplaced.add(chain);
    else this.#fail(chain, refuse("over_limit", waitMilliseconds));
  }

  #retryPlacements(): void {
    for (const chain of [...this.#unplaced]) {
      this.#unplaced.delete(chain);
      if (chain.isOpen) this.#settleIfDone(chain);
    }
  }

  #fail(chain: ChainRun, outcome: ChainOutcome): void {
    if (chain.isOpen) this.#recordEnd(chain.request, false);
    this.#close(chain, outcome);
  }

  #close(chain: ChainRun, outcome: ChainOutcome): void {
    if (!chain.isOpen) return;
    this.#chains.delete(chain);
    chain.settle(outcome);
    for (const scheduler of this.#schedulers.values()) scheduler.cancel(chain);
    this.#freer.free(chain.releaseAll());
  }

  /**
   * A leaving endpoint finishes its calls and keeps its results for a while.
   * Making them again at once would cost the chain time and load another
   * endpoint.
   */
  #endpointGone(id: string, cause: EndpointGoneCause): void {
    this.#freeRetainedAt(id, cause);
    if (cause === "leaving") {
      for (const scheduler of this.#schedulers.values()) scheduler.remove(id);
      return;
    }
    for (const scheduler of this.#schedulers.values()) scheduler.abort(id);
    for (const chain of [...this.#chains]) {
      this.#restart(chain, chain.invalidateMaker(id));
    }
  }

  /** A request can't read what is left of its results once one is gone. */
  #freeRetainedAt(makerId: string, cause: EndpointGoneCause): void {
    for (const chain of this.#retained.evictAllAt(makerId)) {
      const results = cause === "leaving"
        ? chain.results
        : chain.results.filter((result) => result.makerId !== makerId);
      this.#freeEvicted([{ ...chain, results }]);
    }
  }

  /** Fails chains waiting for services whose zones are all evacuated. */
  #zonesEvacuated(): void {
    const { registry } = this.#options;
    const evacuated = [...this.#schedulers].filter(([service]) =>
      registry.isEvacuated(service)
    ).map(([, scheduler]) => scheduler);
    for (const chain of [...this.#chains]) {
      if (!evacuated.some((scheduler) => scheduler.hasWaiting(chain))) continue;
      this.#fail(chain, refuse("no_endpoint", NO_ENDPOINT_RETRY_MILLISECONDS));
    }
  }

  #restart(chain: ChainRun, tasks: readonly PieceTask[]): void {
    if (chain.restarts <= MAX_RESTARTS) this.#enqueue(tasks);
    else this.#fail(chain, refuse("failing", FAILED_RETRY_MILLISECONDS));
  }

  #updateTerms(): void {
    const { table } = this.#options.configuration;
    for (const [service, scheduler] of this.#schedulers) {
      const terms = table?.findService(service)?.pieces;
      if (terms !== undefined) scheduler.terms = terms;
    }
  }

  /** Timers run only while chains are open, as most daemons run none. */
  #startTimers(): void {
    if (this.#stopTimers !== undefined) return;
    const { timer, loopDelay } = this.#options;
    const teardowns = [
      loopDelay.register(),
      timer.registerInterval(() => this.#sweep(), SWEEP_MILLISECONDS),
      timer.registerInterval(() => this.#logLoad(), LOAD_LOG_MILLISECONDS),
    ];
    this.#stopTimers = () => teardowns.forEach((teardown) => teardown());
  }

  #sweep(): void {
    this.#retryPlacements();
    if (this.#chains.size > 0) return this.#dispatchAll();
    this.#stopTimers?.();
    this.#stopTimers = undefined;
  }

  #logLoad(): void {
    for (const scheduler of this.#schedulers.values()) scheduler.logLoad();
  }

  #dispatchAll(): void {
    for (const scheduler of this.#schedulers.values()) scheduler.dispatch();
  }
}

function refuse(
  reason: ChainRefusal,
  retryAfterMilliseconds: number,
): ChainOutcome {
  return { type: "refused", reason, retryAfterMilliseconds };
}
