import type { PieceTerms } from "../configuration/service_definition.ts";
import type { PieceResult } from "./chain_outcome.ts";
import type { ChainRun } from "./chain_run.ts";
import type { ResultUse } from "./kept_results.ts";
import type { CallTarget } from "./call_target.ts";
import type {
  PieceAnswer,
  PieceCallAnswer,
  PieceFailure,
} from "./piece_call.ts";
import type { PieceTask } from "./piece_task.ts";
import type { PlanCallOptions } from "./plan_call.ts";
import type { RunningCall } from "./running_call.ts";
import type { StageSchedulerOptions } from "./stage_scheduler_options.ts";
import { createRunningCall } from "./create_running_call.ts";
import { describeCall, describeLoad } from "./describe_load.ts";
import { learnRoom } from "./learn_room.ts";
import { findSharedWait } from "./find_shared_wait.ts";
import { PieceQueue } from "./piece_queue.ts";
import { PieceRetries } from "./piece_retries.ts";
import { planCall } from "./plan_call.ts";
import { rankTask } from "./rank_piece.ts";
import { singleCallTime } from "./service_capacity.ts";
import { CallTargets } from "./call_targets.ts";
import { toPieceRequest } from "./to_piece_request.ts";
import { watchCall } from "./watch_call.ts";

/** Pause before the next call to a full endpoint. */
const FULL_PAUSE_MILLISECONDS = 60;
const MAXIMUM_BACKOFF_DOUBLINGS = 2;
/** Share of an endpoint's room beside which results are retained. */
const UNRETAINED_ROOM_SHARE = 0.5;
/** A fraction of a call; each arrival asks for a forecast of its stages. */
const FORECAST_MILLISECONDS = 5;

/** What admission asks of a service. */
export interface ServiceForecast {
  /** Pieces per millisecond that usable endpoints make. */
  readonly rate: number;
  /** Time until a call could start with an empty queue, milliseconds. */
  readonly slotWait: number;
}

/**
 * Schedules the pieces of all requests for one stage service. Pieces queue here
 * until an endpoint is free, never at an endpoint: pieces that arrive meanwhile
 * join the next call and share its fixed cost.
 */
export class StageScheduler {
  readonly #options: StageSchedulerOptions;
  readonly #queue = new PieceQueue();
  readonly #targets: CallTargets;
  readonly #retries: PieceRetries;
  #terms: PieceTerms;
  #largestResultBytes = 0;
  #isDispatchPending = false;
  #forecast: (ServiceForecast & { readonly at: number }) | undefined;

  constructor(options: StageSchedulerOptions) {
    this.#options = options;
    this.#targets = new CallTargets(options);
    this.#retries = new PieceRetries({
      ...options,
      queue: this.#queue,
      failed: (chain, reason) => options.events.failed(chain, reason),
      dispatch: () => this.dispatch(),
    });
    this.#terms = options.terms;
  }

  set terms(terms: PieceTerms) {
    this.#terms = terms;
  }

  enqueue(tasks: readonly PieceTask[]): void {
    for (const { chain, stage } of tasks) {
      const { resultBytes } = chain.stage(stage);
      this.#largestResultBytes = Math.max(
        this.#largestResultBytes,
        resultBytes,
      );
    }
    this.#queue.add(tasks);
  }

  /**
   * Starts as many calls as there are free endpoints and pieces. Deferred until
   * all events of this turn are handled, because the answer of one call may
   * complete many stages.
   */
  dispatch(): void {
    if (this.#isDispatchPending || this.#queue.length === 0) return;
    this.#isDispatchPending = true;
    setImmediate(() => {
      this.#isDispatchPending = false;
      this.#dispatchNow();
    });
  }

  /** Whether pieces of a chain are queued here. */
  hasWaiting(chain: ChainRun): boolean {
    return this.#queue.hasChain(chain);
  }

  /** Drops a chain's queued pieces and aborts calls no longer needed. */
  cancel(chain: ChainRun): void {
    this.#queue.removeChain(chain);
    this.#targets.abortUnneeded();
  }

  /** Removes a leaving endpoint, which finishes its calls. */
  remove(id: string): void {
    this.#targets.remove(id);
  }

  /** Removes an endpoint that is gone and aborts its calls. */
  abort(id: string): void {
    this.#targets.removeAndAbort(id);
  }

  /** Stops counting the room of a freed result. */
  drop(result: PieceResult): void {
    this.#targets.resultsAt(result)?.remove(result.handle);
  }

  /** When a result expires; undefined if it isn't counted here. */
  expiryOf(result: PieceResult): number | undefined {
    return this.#targets.resultsAt(result)?.expiryOf(result.handle);
  }

  setUse(result: PieceResult, use: ResultUse): void {
    this.#targets.resultsAt(result)?.setUse(result.handle, use);
  }

  /**
   * Frees retained results at an endpoint until its next calls have room: a
   * call that starts before they are freed must not be rejected for room.
   */
  reclaimRoom(makerId: string): void {
    const target = this.#targets.find(makerId);
    if (target === undefined) return;
    const { slots, batch, resultBytes } = this.#terms;
    const now = this.#now();
    const reserve = Math.max(
      resultBytes * UNRETAINED_ROOM_SHARE,
      slots * batch * this.#largestResultBytes,
    );
    const { results } = target;
    while (
      target.room(this.#terms, now) + results.bytesOf("freeing", now) < reserve
    ) {
      if (!this.#options.freeRetained(makerId)) return;
    }
  }

  /** Rate and wait of the service, at most `FORECAST_MILLISECONDS` old. */
  forecast(): ServiceForecast {
    const now = this.#now();
    const known = this.#forecast;
    if (known !== undefined && now - known.at <= FORECAST_MILLISECONDS) {
      return known;
    }
    const forecast = { at: now, rate: this.rate(), slotWait: this.slotWait() };
    this.#forecast = forecast;
    return forecast;
  }

  /** Pieces per millisecond that usable endpoints make now. */
  rate(): number {
    const now = this.#now();
    return this.#targets.usable(now)
      .reduce((sum, target) => sum + target.rate(this.#terms, now), 0);
  }

  /** Time of a call for `pieces` pieces, milliseconds. */
  workTime(pieces: number): number {
    return singleCallTime(this.#terms, pieces);
  }

  /** Time between two free endpoints while all run full calls, milliseconds. */
  turnTime(): number {
    return this.#terms.batch / this.rate();
  }

  /** Time until a call could start with an empty queue, milliseconds. */
  slotWait(): number {
    return this.#targets.slotWait(this.#terms, this.#now());
  }

  get hasEndpoints(): boolean {
    return this.#options.registry.availableFor(this.#options.service).length >
      0;
  }

  /** Logs queued and in-flight work. */
  logLoad(): void {
    const { log, service } = this.#options;
    log.info("stage load", { service, ...describeLoad(this.#planOptions()) });
  }

  #now(): number {
    return this.#options.timer.now();
  }

  #planOptions(): PlanCallOptions {
    const now = this.#now();
    const targets = this.#targets.usable(now);
    const repeats = this.#retries.available;
    return { queue: this.#queue, targets, terms: this.#terms, repeats, now };
  }

  #dispatchNow(): void {
    const now = this.#now();
    for (const chain of this.#queue.expired(now)) {
      this.#options.events.failed(chain, "too_late");
    }
    const work = this.workTime(1);
    this.#queue.pruneAndSort((task) => rankTask(task, { work, now }));
    for (;;) {
      const plan = planCall(this.#planOptions());
      if (plan === undefined) break;
      this.#startCall(plan.target, plan.tasks);
    }
    this.#reclaimForHeldCalls();
    const waiting = this.#queue.repeatsBeyond(this.#retries.available);
    this.#retries.handleWaiting(waiting, { workMilliseconds: work });
  }

  /** Retains nothing while a call is held back for want of room. */
  #reclaimForHeldCalls(): void {
    const options = this.#planOptions();
    const { queue, targets, now } = options;
    const holders = targets.filter(({ results }) =>
      results.bytesOf("retained", now) > 0
    );
    if (queue.length === 0 || holders.length === 0) return;
    if (planCall({ ...options, usesRetainedRoom: true }) === undefined) return;
    for (const { endpoint } of holders) {
      while (this.#options.freeRetained(endpoint.entry.id));
    }
  }

  #startCall(target: CallTarget, tasks: readonly PieceTask[]): void {
    const { timer, client } = this.#options;
    const now = this.#now();
    const call = createRunningCall(tasks, {
      terms: this.#terms,
      reportedSlowdown: target.endpoint.load.recentSlowdown(now),
      now,
    });
    this.#queue.remove(tasks);
    for (const task of tasks) task.calls++;
    target.startCall(call, now);
    this.reclaimRoom(target.endpoint.entry.id);
    const sent = this.#retries.recordSends(tasks, target.endpoint.entry.zone);
    const stopWatching = watchCall({
      call,
      slowness: target.endpoint.expectedSlowness(now),
      timer,
      onOverdue: () => this.#callOverdue(target, call),
      onHedge: () => this.#hedge(call),
      mayAbort: () => this.#mayAbort(call),
    });
    const pieces = tasks.map((task) => toPieceRequest(task, now));
    void client.runPieces({
      endpoint: target.endpoint.entry,
      pieces,
      signal: call.abort.signal,
      onConnected: () => this.#retries.recordConnection(sent),
    }).then((answer) => {
      stopWatching();
      const isSent = answer.type !== "failed" || answer.isSent;
      if (!isSent) this.#retries.withdrawSends(sent);
      this.#callEnded(target, call, answer);
    });
  }

  /**
   * Returns how long to wait for the endpoint before pieces are sent to others
   * as well, milliseconds.
   */
  async #callOverdue(target: CallTarget, call: RunningCall): Promise<number> {
    const { client, timer, log, service } = this.#options;
    const { endpoint } = target;
    const now = this.#now();
    const ratio = (now - call.startedAt) / call.expectedCallTime;
    endpoint.overdue(ratio, now);
    endpoint.load.overdue(ratio, now);
    const sharedWaitMilliseconds = await findSharedWait({
      endpoint: endpoint.entry,
      terms: this.#terms,
      client,
      timer,
    });
    log.warn("piece call overdue", {
      service,
      ...describeCall(target, call, this.#now()),
      sharedWaitMilliseconds,
    });
    return sharedWaitMilliseconds;
  }

  /** Queues the pieces of an overdue call for other endpoints as well. */
  #hedge(call: RunningCall): void {
    call.isHedged = true;
    this.#targets.abortUnneeded();
    this.#retries.hedge(call.tasks);
    this.dispatch();
  }

  /**
   * Whether a call that hangs may be aborted: other calls carry its pieces, or
   * they are late. One whose endpoint only pauses would have made pieces that the
   * retry budget may not allow to be sent again.
   */
  #mayAbort(call: RunningCall): boolean {
    if (this.#retries.isOnlyCall(call.tasks)) this.#hedge(call);
    return !this.#retries.isOnlyCall(call.tasks);
  }

  #callEnded(
    target: CallTarget,
    call: RunningCall,
    answer: PieceCallAnswer,
  ): void {
    target.calls.delete(call);
    target.endpoint.inFlight--;
    for (const task of call.tasks) task.calls--;
    this.#handleAnswer(target, call, answer);
    this.dispatch();
  }

  #handleAnswer(
    target: CallTarget,
    call: RunningCall,
    answer: PieceCallAnswer,
  ): void {
    switch (answer.type) {
      case "answered":
        return this.#callAnswered(target, call, answer.pieces);
      case "full":
        return this.#endpointFull(target, call);
      case "replaced":
        return this.#endpointReplaced(target, call);
      case "failed":
        return this.#callFailed(target, call, answer);
    }
  }

  #endpointReplaced(target: CallTarget, call: RunningCall): void {
    this.#log("endpoint replaced", target, call);
    this.#options.registry.retire(target.endpoint.entry);
    this.#retries.retryOrFail(call.tasks, "failed");
  }

  #callAnswered(
    target: CallTarget,
    call: RunningCall,
    answers: readonly PieceAnswer[],
  ): void {
    const now = this.#now();
    const ratio = (now - call.startedAt) / call.expectedCallTime;
    target.refusals = 0;
    target.endpoint.succeeded(ratio, now);
    const { reportedSlowdown } = call;
    target.endpoint.load.observe(ratio, { now, reportedSlowdown });
    for (const [index, task] of call.tasks.entries()) {
      const answer = answers[index];
      if (answer?.type === "made") this.#pieceMade(target, task, answer.handle);
      else this.#pieceFailed(target, task, answer?.failure ?? "error");
    }
  }

  #pieceMade(target: CallTarget, task: PieceTask, handle: string): void {
    const result = target.resultOf(handle);
    const expiresAt = this.#now() + this.#terms.keptMilliseconds;
    target.results.add(handle, {
      bytes: task.chain.stage(task.stage).resultBytes,
      expiresAt,
    });
    if (target.isGone) {
      this.#retries.retryOrFail([task], "failed");
      return;
    }
    const isNew = task.chain.isOpen &&
      task.chain.recordResult(task, result, expiresAt);
    if (isNew) this.#options.events.made(task);
    else this.#options.free([result]);
  }

  #pieceFailed(
    target: CallTarget,
    task: PieceTask,
    failure: PieceFailure,
  ): void {
    if (!this.#retries.isNeeded(task)) return;
    this.#options.log.info("piece failed", {
      attempt: task.chain.request.attemptId,
      stage: task.stage,
      piece: task.piece,
      endpoint: target.endpoint.entry.id,
      failure,
    });
    const handlers: Readonly<Record<PieceFailure, () => void>> = {
      late: () => this.#options.events.failed(task.chain, "too_late"),
      input_gone: () => this.#options.events.inputsGone(task),
      no_room: () => this.#endpointHadNoRoom(target, task),
      error: () => this.#retries.retryOrFail([task], "failed"),
    };
    handlers[failure]();
  }

  /**
   * The endpoint has less room than was counted: it holds another daemon's
   * results, or results are larger than configured. An immediate retry would
   * fail again.
   */
  #endpointHadNoRoom(target: CallTarget, task: PieceTask): void {
    const { registry, client, timer } = this.#options;
    const terms = this.#terms;
    const { resultBytes } = task.chain.stage(task.stage);
    target.recordNoRoom(resultBytes, { terms, now: this.#now() });
    this.reclaimRoom(target.endpoint.entry.id);
    this.#retries.requeueRejected([task]);
    void learnRoom({
      target,
      terms,
      client,
      timer,
      onRestart: (bornAt) =>
        registry.reportIncarnation(
          { ...target.endpoint.entry, bornAt },
          timer.now(),
        ),
      onExpired: () => this.dispatch(),
    });
  }

  /**
   * Another daemon's calls fill the endpoint, or it can't run any; pauses calls
   * to it, longer each time.
   */
  #endpointFull(target: CallTarget, call: RunningCall): void {
    const backoff = 2 ** Math.min(target.refusals++, MAXIMUM_BACKOFF_DOUBLINGS);
    target.pausedUntil = this.#now() + FULL_PAUSE_MILLISECONDS * backoff;
    this.#retries.requeueRejected(call.tasks);
  }

  #callFailed(
    target: CallTarget,
    call: RunningCall,
    options: Extract<PieceCallAnswer, { type: "failed" }>,
  ): void {
    const needed = call.tasks.filter((task) => this.#retries.isNeeded(task));
    if (needed.length === 0 && !options.isCertain && !call.isHedged) return;
    target.endpoint.failed(options.isCertain, this.#now());
    this.#log(`piece call failed: ${options.reason}`, target, call);
    this.#retries.retryOrFail(
      needed,
      options.isSent ? "failed" : "not_sent",
    );
  }

  #log(message: string, target: CallTarget, call: RunningCall): void {
    this.#options.log.warn(message, {
      service: this.#options.service,
      ...describeCall(target, call, this.#now()),
    });
  }
}
