import type { PieceTerms } from "../configuration/service_definition.ts";
import type { PieceResult } from "./chain_outcome.ts";
import type { ChainRun } from "./chain_run.ts";
import type { EndpointLane } from "./endpoint_lane.ts";
import type {
  PieceAnswer,
  PieceCallAnswer,
  PieceFailure,
} from "./piece_call.ts";
import type { PieceTask } from "./piece_task.ts";
import type { PlanCallOptions } from "./plan_call.ts";
import type { RunningCall } from "./running_call.ts";
import type { ServiceDeskOptions } from "./service_desk_options.ts";
import { createRunningCall } from "./create_running_call.ts";
import { describeCall, describeLoad } from "./describe_load.ts";
import { learnRoom } from "./learn_room.ts";
import { PieceQueue } from "./piece_queue.ts";
import { PieceRepeats } from "./piece_repeats.ts";
import { planCall } from "./plan_call.ts";
import { rankTask } from "./rank_piece.ts";
import { oneCallTime } from "./service_capacity.ts";
import { ServiceLanes } from "./service_lanes.ts";
import { toPieceOrder } from "./to_piece_order.ts";
import { watchCall } from "./watch_call.ts";

/** Wait before a full endpoint is asked again, milliseconds. */
const FULL_PAUSE_MILLISECONDS = 60;

/**
 * Gathers the pieces of all requests for one stage service. A piece waits here
 * until an endpoint is free, never at an endpoint: whatever arrives meanwhile
 * joins the next call, which costs the same whatever it carries.
 */
export class ServiceDesk {
  readonly #options: ServiceDeskOptions;
  readonly #queue = new PieceQueue();
  readonly #lanes: ServiceLanes;
  readonly #repeats: PieceRepeats;
  #terms: PieceTerms;
  #isPumpDue = false;

  constructor(options: ServiceDeskOptions) {
    this.#options = options;
    this.#lanes = new ServiceLanes(options);
    this.#repeats = new PieceRepeats({
      ...options,
      queue: this.#queue,
      failed: (chain) => options.events.failed(chain, "failing"),
    });
    this.#terms = options.terms;
  }

  set terms(terms: PieceTerms) {
    this.#terms = terms;
  }

  enqueue(tasks: readonly PieceTask[]): void {
    this.#queue.add(tasks);
  }

  /**
   * Starts as many calls as there are free endpoints and pieces, once all that
   * has come together is taken in: the answer of one call may end many stages.
   */
  pump(): void {
    if (this.#isPumpDue || this.#queue.length === 0) return;
    this.#isPumpDue = true;
    setImmediate(() => {
      this.#isPumpDue = false;
      this.#pumpNow();
    });
  }

  /** Whether pieces of a chain wait here for an endpoint. */
  hasWaiting(chain: ChainRun): boolean {
    return this.#queue.hasChain(chain);
  }

  chainClosed(chain: ChainRun): void {
    this.#queue.dropChain(chain);
    this.#lanes.abortUnneeded();
  }

  endpointLeaving(id: string): void {
    this.#lanes.forget(id);
  }

  endpointGone(id: string): void {
    this.#lanes.drop(id);
  }

  freed(result: PieceResult): void {
    this.#lanes.freed(result);
  }

  /** Pieces a millisecond that sound endpoints make now. */
  rate(): number {
    const now = this.#now();
    return this.#lanes.usable(now)
      .reduce((sum, lane) => sum + lane.rate(this.#terms, now), 0);
  }

  /** Time that calls for `pieces` pieces take, milliseconds. */
  workTime(pieces: number): number {
    return oneCallTime(this.#terms, pieces);
  }

  /** Time until one more call could start if nothing waited, milliseconds. */
  slotWait(): number {
    return this.#lanes.slotWait(this.#terms, this.#now());
  }

  get hasEndpoints(): boolean {
    return this.#options.book.availableFor(this.#options.service).length > 0;
  }

  /** Writes what waits and what is under way. */
  logLoad(): void {
    const { log, service } = this.#options;
    log.info("stage load", { service, ...describeLoad(this.#outlook()) });
  }

  #now(): number {
    return this.#options.timer.now();
  }

  #outlook(): PlanCallOptions {
    const now = this.#now();
    const lanes = this.#lanes.usable(now);
    return { queue: this.#queue, lanes, terms: this.#terms, now };
  }

  #pumpNow(): void {
    const now = this.#now();
    for (const chain of this.#queue.expired(now)) {
      this.#options.events.failed(chain, "too_late");
    }
    const work = this.workTime(1);
    this.#queue.tidy((task) => rankTask(task, { work, now }));
    for (;;) {
      const plan = planCall(this.#outlook());
      if (plan === undefined) return;
      this.#start(plan.lane, plan.tasks);
    }
  }

  #start(lane: EndpointLane, tasks: readonly PieceTask[]): void {
    const { timer, client } = this.#options;
    const now = this.#now();
    const call = createRunningCall(tasks, { terms: this.#terms, now });
    this.#queue.take(tasks);
    for (const task of tasks) {
      task.calls++;
      task.chain.begin(task.stage, lane.endpoint.entry.zone);
    }
    lane.start(call, now);
    this.#repeats.recordFirst(tasks);
    const stopWatch = watchCall({
      call,
      slowness: lane.endpoint.slowness(now),
      timer,
      onOverdue: () => this.#double(lane, call),
    });
    const pieces = tasks.map((task) => toPieceOrder(task, now));
    void client.runPieces({
      endpoint: lane.endpoint.entry,
      pieces,
      signal: call.abort.signal,
    }).then((answer) => {
      stopWatch();
      this.#ended(lane, call, answer);
    });
  }

  /** Gives the pieces of an overdue call to other endpoints as well. */
  #double(lane: EndpointLane, call: RunningCall): void {
    const now = this.#now();
    call.isDoubled = true;
    lane.endpoint.overdue((now - call.startedAt) / call.soundTime, now);
    this.#log("piece call overdue", lane, call);
    this.#repeats.double(call.tasks);
    this.pump();
  }

  #ended(lane: EndpointLane, call: RunningCall, answer: PieceCallAnswer): void {
    lane.calls.delete(call);
    lane.endpoint.inFlight--;
    for (const task of call.tasks) task.calls--;
    this.#take(lane, call, answer);
    this.pump();
  }

  #take(lane: EndpointLane, call: RunningCall, answer: PieceCallAnswer): void {
    switch (answer.type) {
      case "answered":
        return this.#answered(lane, call, answer.pieces);
      case "full":
        return this.#wasFull(lane, call);
      case "replaced":
        return this.#wasReplaced(lane, call);
      case "failed":
        return this.#callFailed(lane, call, answer);
    }
  }

  #wasReplaced(lane: EndpointLane, call: RunningCall): void {
    this.#log("endpoint replaced", lane, call);
    this.#options.book.retire(lane.endpoint.entry);
    this.#repeats.again(call.tasks, "failed");
  }

  #answered(
    lane: EndpointLane,
    call: RunningCall,
    answers: readonly PieceAnswer[],
  ): void {
    const now = this.#now();
    lane.endpoint.succeeded((now - call.startedAt) / call.soundTime, now);
    for (const [index, task] of call.tasks.entries()) {
      const answer = answers[index];
      if (answer?.type === "made") this.#made(lane, task, answer.handle);
      else this.#pieceFailed(lane, task, answer?.failure ?? "error");
    }
  }

  #made(lane: EndpointLane, task: PieceTask, handle: string): void {
    const result = lane.resultOf(handle);
    lane.keep(handle, {
      bytes: task.chain.stage(task.stage).resultBytes,
      expiresAt: this.#now() + this.#terms.keptMilliseconds,
    });
    if (lane.isGone) {
      this.#repeats.again([task], "failed");
      return;
    }
    const isNew = task.chain.isOpen && task.chain.put(task, result);
    if (isNew) this.#options.events.made(task);
    else this.#options.free([result]);
  }

  #pieceFailed(
    lane: EndpointLane,
    task: PieceTask,
    failure: PieceFailure,
  ): void {
    if (!this.#repeats.isWanted(task)) return;
    this.#options.log.info("piece failed", {
      attempt: task.chain.request.attemptId,
      stage: task.stage,
      piece: task.piece,
      endpoint: lane.endpoint.entry.id,
      failure,
    });
    const handlers: Readonly<Record<PieceFailure, () => void>> = {
      late: () => this.#options.events.failed(task.chain, "too_late"),
      input_gone: () => this.#options.events.inputsGone(task),
      no_room: () => this.#hadNoRoom(lane, task),
      error: () => this.#repeats.again([task], "failed"),
    };
    handlers[failure]();
  }

  /**
   * The maker has less room than was counted: another daemon's results are
   * there, or results are larger than the configuration says. Asked again at
   * once it would say the same.
   */
  #hadNoRoom(lane: EndpointLane, task: PieceTask): void {
    const { book, client, timer } = this.#options;
    const terms = this.#terms;
    const { resultBytes } = task.chain.stage(task.stage);
    lane.hadNoRoom(resultBytes, { terms, now: this.#now() });
    this.#repeats.turnedAway([task]);
    void learnRoom({
      lane,
      terms,
      client,
      timer,
      onBirth: (bornAt) =>
        book.reportIncarnation({ ...lane.endpoint.entry, bornAt }, timer.now()),
      onOver: () => this.pump(),
    });
  }

  /** Another daemon's calls fill the endpoint: it is asked again later. */
  #wasFull(lane: EndpointLane, call: RunningCall): void {
    lane.pausedUntil = this.#now() + FULL_PAUSE_MILLISECONDS;
    this.#repeats.turnedAway(call.tasks);
  }

  #callFailed(
    lane: EndpointLane,
    call: RunningCall,
    options: { readonly isCertain: boolean; readonly reason: string },
  ): void {
    const wanted = call.tasks.filter((task) => this.#repeats.isWanted(task));
    if (wanted.length === 0 && !options.isCertain && !call.isDoubled) return;
    lane.endpoint.failed(options.isCertain, this.#now());
    this.#log(`piece call failed: ${options.reason}`, lane, call);
    this.#repeats.again(wanted, options.isCertain ? "not_sent" : "failed");
  }

  #log(message: string, lane: EndpointLane, call: RunningCall): void {
    this.#options.log.warn(message, {
      service: this.#options.service,
      ...describeCall(lane, call, this.#now()),
    });
  }
}
