import type { TimerService } from "kelpspar-shared";
import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointBook } from "../endpoints/endpoint_book.ts";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { ServiceRetryBudget } from "../retries/service_retry_budget.ts";
import type { PieceResult } from "./chain_outcome.ts";
import type { ChainRun } from "./chain_run.ts";
import type {
  PieceAnswer,
  PieceCallAnswer,
  PieceClient,
  PieceFailure,
  PieceOrder,
} from "./piece_call.ts";
import type { PieceTask } from "./piece_task.ts";
import type { RunningCall } from "./running_call.ts";
import type { PiecePlace } from "./place_piece.ts";
import { EndpointLane } from "./endpoint_lane.ts";
import { fillCall } from "./fill_call.ts";
import { FREE_CROSSING_BYTES, placePiece } from "./place_piece.ts";
import { rankPiece } from "./rank_piece.ts";
import { StageFacts } from "./stage_facts.ts";
import { startablePieces } from "./startable_pieces.ts";
import { callTime, piecesPerMillisecond } from "./service_capacity.ts";

/** A call is doubled once it took so many times what it should take, */
const DOUBLED_AFTER_FACTOR = 1.7;
/** and this much more, for the way and for pieces larger than the average. */
const DOUBLED_AFTER_MILLISECONDS = 80;
/**
 * A call is given up after so many times what it should take: slow endpoints
 * were seen at five times, and one that hangs must not keep its lane.
 */
const GIVEN_UP_AFTER_FACTOR = 9;
/** Wait before a full endpoint is asked again, milliseconds. */
const FULL_PAUSE_MILLISECONDS = 60;
/** How long what an endpoint says of others' results counts, milliseconds. */
const FOREIGN_ROOM_MILLISECONDS = 250;
/** Wait before an endpoint without room is asked again, milliseconds. */
const NO_ROOM_PAUSE_MILLISECONDS = 120;
/**
 * Time of waiting work per endpoint from which calls are filled whatever
 * crosses zones, milliseconds: a third of a call.
 */
const PRESSED_MILLISECONDS = 90;
/** A piece that failed so often ends its chain. */
const MOST_FAILURES = 4;
/** A piece is due this long before its chain's deadline, milliseconds. */
const DEADLINE_MARGIN_MILLISECONDS = 50;

/** Told what became of pieces. */
export interface ServiceDeskEvents {
  made(task: PieceTask): void;
  inputsGone(task: PieceTask): void;
  failed(chain: ChainRun, reason: "too_late" | "failing"): void;
}

/** What a desk works with. */
export interface ServiceDeskOptions {
  readonly service: string;
  readonly terms: PieceTerms;
  readonly book: EndpointBook;
  readonly client: PieceClient;
  readonly timer: TimerService;
  readonly budget: ServiceRetryBudget;
  readonly log: GatewayLog;
  readonly events: ServiceDeskEvents;
  /** Frees results that nobody needs. */
  readonly free: (results: readonly PieceResult[]) => void;
}

/**
 * Gathers the pieces of all requests for one stage service. A piece waits here
 * until an endpoint is free, never at an endpoint: whatever arrives meanwhile
 * joins the next call, which costs the same whatever it carries.
 */
export class ServiceDesk {
  readonly #options: ServiceDeskOptions;
  #terms: PieceTerms;
  #queue: PieceTask[] = [];
  #facts = new StageFacts(() => 0);
  #isPumpDue = false;
  readonly #lanes = new Map<string, EndpointLane>();

  constructor(options: ServiceDeskOptions) {
    this.#options = options;
    this.#terms = options.terms;
  }

  set terms(terms: PieceTerms) {
    this.#terms = terms;
  }

  enqueue(tasks: readonly PieceTask[]): void {
    for (const task of tasks) {
      task.isQueued = true;
      this.#queue.push(task);
    }
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

  #pumpNow(): void {
    const now = this.#options.timer.now();
    this.#facts = new StageFacts((task) => this.#rank(task, now));
    this.#tidyQueue(now);
    while (this.#startNext(now)) continue;
  }

  /** Starts a call for the first piece that has a place; false if none has. */
  #startNext(now: number): boolean {
    const lanes = this.#lanesNow(now);
    const isFree = (lane: EndpointLane): boolean =>
      lane.calls.size < this.#terms.slots && lane.pausedUntil <= now;
    if (!lanes.some(isFree)) return false;
    let previous: PieceTask | undefined;
    for (const task of this.#startable(lanes, now)) {
      // Pieces of one stage stand together and have the same places.
      const isAlike = previous?.chain === task.chain &&
        previous.stage === task.stage;
      previous = task;
      if (isAlike) continue;
      const lane = placePiece({
        places: lanes.map((lane) => this.#toPlace(lane, { task, now })),
        callTime: this.workTime(this.#queue.length),
        slack: this.#slack(task, now),
        queueTime: this.#queueTime(),
      });
      if (lane === undefined) continue;
      this.#start(lane, this.#fill(lane, { first: task, now }));
      return true;
    }
    return false;
  }

  /** Pieces in order of rank that can't block others by the room they take. */
  #startable(
    lanes: readonly EndpointLane[],
    now: number,
  ): readonly PieceTask[] {
    const room = lanes.reduce(
      (sum, lane) => sum + Math.max(0, lane.room(this.#terms, now)),
      0,
    );
    return startablePieces(this.#queue, room);
  }

  #toPlace(
    lane: EndpointLane,
    options: { readonly task: PieceTask; readonly now: number },
  ): PiecePlace<EndpointLane> {
    const { task, now } = options;
    const room = lane.room(this.#terms, now);
    const { resultBytes } = task.chain.stage(task.stage);
    const hasRoom = resultBytes <= room || room >= this.#terms.resultBytes;
    const slowness = lane.endpoint.slowness(now);
    return {
      lane,
      isFree: hasRoom && lane.calls.size < this.#terms.slots &&
        lane.pausedUntil <= now,
      wait: this.#waitFor(lane, { slowness, now }),
      slowness,
      crossing: this.#facts.crossing(task, lane.endpoint.entry.zone),
    };
  }

  /** Time until a call ends at a busy endpoint, milliseconds. */
  #waitFor(
    lane: EndpointLane,
    options: { readonly slowness: number; readonly now: number },
  ): number {
    if (lane.calls.size < this.#terms.slots) return 0;
    const due = [...lane.calls].map((call) =>
      call.startedAt + call.soundTime * Math.max(1, options.slowness)
    );
    return Math.max(0, Math.min(...due) - options.now);
  }

  #slack(task: PieceTask, now: number): number {
    const { chain } = task;
    const work = this.workTime(this.#queue.length) +
      chain.request.tailMilliseconds;
    return chain.objectiveAt - work - now;
  }

  /** Time of one endpoint for all that waits, milliseconds. */
  #queueTime(): number {
    const { batch } = this.#terms;
    return this.#queue.length / batch * callTime(this.#terms, batch);
  }

  /**
   * What goes along with `first`: pieces that belong near this endpoint, then,
   * where much waits, others: a place in a call that stays empty is lost.
   */
  #fill(
    lane: EndpointLane,
    options: { readonly first: PieceTask; readonly now: number },
  ): readonly PieceTask[] {
    const { first, now } = options;
    const lanes = this.#lanesNow(now);
    const near: PieceTask[] = [];
    const far: PieceTask[] = [];
    for (const task of this.#startable(lanes, now)) {
      if (task === first) continue;
      if (this.#isNearest(lane, { task, lanes })) near.push(task);
      else far.push(task);
    }
    const isPressed = this.#queueTime() / lanes.length > PRESSED_MILLISECONDS;
    const room = lane.room(this.#terms, now);
    return fillCall([first, ...near, ...(isPressed ? far : [])], {
      batch: this.#terms.batch,
      room,
      isEmpty: room >= this.#terms.resultBytes,
    });
  }

  #isNearest(
    lane: EndpointLane,
    options: {
      readonly task: PieceTask;
      readonly lanes: readonly EndpointLane[];
    },
  ): boolean {
    const { task, lanes } = options;
    const crossing = this.#facts.crossing(task, lane.endpoint.entry.zone);
    return crossing <= FREE_CROSSING_BYTES ||
      !lanes.some((one) =>
        this.#facts.crossing(task, one.endpoint.entry.zone) +
            FREE_CROSSING_BYTES < crossing
      );
  }

  /** Ends calls that only carry pieces nobody needs any more. */
  chainClosed(chain: ChainRun): void {
    this.#queue = this.#queue.filter((task) => task.chain !== chain);
    for (const lane of this.#lanes.values()) {
      for (const call of lane.calls) {
        if (call.tasks.every((task) => !task.chain.isOpen)) call.abort.abort();
      }
    }
  }

  /** Gives up the calls at an endpoint that is gone. */
  endpointGone(id: string): void {
    const lane = this.#lanes.get(id);
    if (lane === undefined) return;
    this.#lanes.delete(id);
    for (const call of lane.calls) call.abort.abort();
  }

  freed(result: PieceResult): void {
    this.#lanes.get(result.makerId)?.free(result.handle);
  }

  /** Pieces a millisecond that sound endpoints make now. */
  rate(): number {
    const now = this.#options.timer.now();
    return piecesPerMillisecond(
      this.#terms,
      this.#lanesNow(now).map((lane) =>
        Math.max(1, lane.endpoint.slowness(now))
      ),
    );
  }

  /** Time that calls for `pieces` pieces take, milliseconds. */
  workTime(pieces: number): number {
    return callTime(this.#terms, Math.min(pieces, this.#terms.batch));
  }

  /** Time until one more call could start if nothing waited, milliseconds. */
  slotWait(): number {
    const now = this.#options.timer.now();
    let least = Number.POSITIVE_INFINITY;
    for (const lane of this.#lanesNow(now)) {
      if (lane.calls.size < this.#terms.slots) return 0;
      for (const call of lane.calls) {
        const due = call.startedAt + call.soundTime;
        least = Math.min(least, Math.max(0, due - now));
      }
    }
    return Number.isFinite(least) ? least : 0;
  }

  get hasEndpoints(): boolean {
    return this.#options.book.ofService(this.#options.service).length > 0;
  }

  /** Writes what waits and what is under way. */
  logLoad(): void {
    const { log, service, timer } = this.#options;
    const now = timer.now();
    const lanes = this.#lanesNow(now);
    const sum = (of: (lane: EndpointLane) => number): number =>
      lanes.reduce((total, lane) => total + of(lane), 0);
    const room = sum((lane) => lane.room(this.#terms, now));
    log.info("stage load", {
      service,
      queued: this.#queue.length,
      startable: this.#startable(lanes, now).length,
      endpoints: lanes.length,
      calls: sum((lane) => lane.calls.size),
      pieces: sum((lane) =>
        [...lane.calls].reduce((count, one) => count + one.tasks.length, 0)
      ),
      freeRoomShare: Number(
        (room / (this.#terms.resultBytes * lanes.length)).toFixed(2),
      ),
      slowness: lanes.map((lane) => lane.endpoint.slowness(now).toFixed(2))
        .join(","),
    });
  }

  #tidyQueue(now: number): void {
    const expired = new Set<ChainRun>();
    for (const { chain } of this.#queue) {
      const due = chain.deadlineAt - DEADLINE_MARGIN_MILLISECONDS;
      if (chain.isOpen && due <= now) expired.add(chain);
    }
    for (const chain of expired) this.#options.events.failed(chain, "too_late");
    this.#queue = this.#queue.filter((task) => {
      // A stage whose inputs were lost is queued anew once they are there; a
      // piece left over from before would be sent with some inputs only.
      const isNeeded = task.chain.isOpen &&
        !task.chain.isMade(task.stage, task.piece) &&
        this.#facts.hasInputs(task);
      if (!isNeeded) task.isQueued = false;
      return isNeeded;
    });
    this.#queue.sort((left, right) =>
      this.#facts.rank(left) - this.#facts.rank(right)
    );
  }

  #rank(task: PieceTask, now: number): number {
    const { chain } = task;
    return rankPiece({
      objectiveAt: chain.objectiveAt,
      remainingWork: this.workTime(1) + chain.request.tailMilliseconds,
      hasBegun: chain.hasBegun(task.stage),
      priority: chain.request.priority,
      now,
    });
  }

  #lanesNow(now: number): readonly EndpointLane[] {
    const { book, service } = this.#options;
    const lanes = book.ofService(service).map((endpoint) => {
      const known = this.#lanes.get(endpoint.entry.id);
      if (known !== undefined) return known;
      const lane = new EndpointLane(endpoint);
      this.#lanes.set(endpoint.entry.id, lane);
      return lane;
    });
    const sound = lanes.filter((lane) => !lane.endpoint.isSetAside(now));
    return sound.length > 0 ? sound : lanes;
  }

  #start(lane: EndpointLane, tasks: readonly PieceTask[]): void {
    const { timer, client } = this.#options;
    const call: RunningCall = {
      tasks,
      startedAt: timer.now(),
      soundTime: callTime(this.#terms, tasks.length),
      resultBytes: tasks.reduce(
        (sum, task) => sum + task.chain.stage(task.stage).resultBytes,
        0,
      ),
      abort: new AbortController(),
      isDoubled: false,
    };
    const taken = new Set(tasks);
    this.#queue = this.#queue.filter((task) => !taken.has(task));
    for (const task of tasks) {
      task.isQueued = false;
      task.calls++;
      task.chain.begin(task.stage);
    }
    lane.calls.add(call);
    lane.endpoint.inFlight++;
    this.#recordFirst(tasks);
    const stopWatch = this.#watch(lane, call);
    const pieces = tasks.map((task) => this.#toOrder(task, call.startedAt));
    void client.runPieces({
      endpoint: lane.endpoint.entry,
      pieces,
      signal: call.abort.signal,
    }).then((answer) => {
      stopWatch();
      this.#ended(lane, call, answer);
    });
  }

  #recordFirst(tasks: readonly PieceTask[]): void {
    const { budget, service, timer } = this.#options;
    for (const task of tasks) {
      const isFirst = task.failures === 0 && task.calls === 1;
      if (isFirst) budget.recordRequest(service, timer.now());
    }
  }

  #toOrder(task: PieceTask, now: number): PieceOrder {
    const { chain, stage, piece } = task;
    const inputs = chain.inputResults(stage).map(({ handle }) => handle);
    return {
      attemptId: chain.request.attemptId,
      stage,
      piece,
      remainingMilliseconds: Math.floor(chain.deadlineAt - now),
      pieceKey: inputs.length === 0 ? chain.request.pieceKey : undefined,
      inputs,
    };
  }

  /**
   * Doubles a call that is overdue and gives it up when it hangs. An endpoint
   * that turned slow or silent holds all chains of its call; one sees stages
   * that take five times as long while the other endpoints are idle.
   */
  #watch(lane: EndpointLane, call: RunningCall): () => void {
    const { timer } = this.#options;
    const slowness = Math.max(1, lane.endpoint.slowness(call.startedAt));
    const doubledAfter = call.soundTime * DOUBLED_AFTER_FACTOR * slowness +
      DOUBLED_AFTER_MILLISECONDS;
    const stopDoubling = timer.registerTimeout(
      () => this.#double(lane, call),
      doubledAfter,
    );
    const stopGivingUp = timer.registerTimeout(
      () => call.abort.abort(),
      Math.max(doubledAfter * 2, call.soundTime * GIVEN_UP_AFTER_FACTOR),
    );
    return () => {
      stopDoubling();
      stopGivingUp();
    };
  }

  #double(lane: EndpointLane, call: RunningCall): void {
    const now = this.#options.timer.now();
    call.isDoubled = true;
    lane.endpoint.overdue((now - call.startedAt) / call.soundTime, now);
    const open = call.tasks.filter((task) => this.#isWanted(task));
    this.#log("piece call overdue", lane, call);
    if (open.length > 0 && this.#spend(open.length)) this.enqueue(open);
    this.pump();
  }

  #ended(lane: EndpointLane, call: RunningCall, answer: PieceCallAnswer): void {
    lane.calls.delete(call);
    lane.endpoint.inFlight--;
    for (const task of call.tasks) task.calls--;
    const handlers: {
      [Type in PieceCallAnswer["type"]]: (
        answer: Extract<PieceCallAnswer, { type: Type }>,
      ) => void;
    } = {
      answered: ({ pieces }) => this.#answered(lane, call, pieces),
      full: () => this.#wasFull(lane, call),
      replaced: () => {
        this.#log("endpoint replaced", lane, call);
        this.#options.book.leave(lane.endpoint.entry.id);
        this.#again(call.tasks, "failed");
      },
      failed: ({ isCertain, reason }) =>
        this.#callFailed(lane, call, { isCertain, reason }),
    };
    (handlers[answer.type] as (answer: PieceCallAnswer) => void)(answer);
    this.pump();
  }

  #answered(
    lane: EndpointLane,
    call: RunningCall,
    answers: readonly PieceAnswer[],
  ): void {
    const now = this.#options.timer.now();
    lane.endpoint.succeeded((now - call.startedAt) / call.soundTime, now);
    for (const [index, task] of call.tasks.entries()) {
      const answer = answers[index];
      if (answer?.type === "made") this.#made(lane, task, answer.handle);
      else this.#pieceFailed(lane, task, answer?.failure ?? "error");
    }
  }

  #made(lane: EndpointLane, task: PieceTask, handle: string): void {
    const { entry } = lane.endpoint;
    const result: PieceResult = {
      handle,
      makerId: entry.id,
      makerAddress: entry.address,
      makerZone: entry.zone,
    };
    lane.keep(handle, {
      bytes: task.chain.stage(task.stage).resultBytes,
      expiresAt: this.#options.timer.now() + this.#terms.keptMilliseconds,
    });
    if (task.chain.isOpen && task.chain.put(task, result)) {
      this.#options.events.made(task);
      return;
    }
    this.#options.free([result]);
  }

  #pieceFailed(
    lane: EndpointLane,
    task: PieceTask,
    failure: PieceFailure,
  ): void {
    if (!this.#isWanted(task)) return;
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
      error: () => this.#again([task], "failed"),
    };
    handlers[failure]();
  }

  /**
   * The maker has less room than was counted: another daemon's results are
   * there, or results are larger than the configuration says. Asked again at
   * once it would say the same.
   */
  #hadNoRoom(lane: EndpointLane, task: PieceTask): void {
    const now = this.#options.timer.now();
    const isAsked = lane.pausedUntil > now;
    lane.pausedUntil = now + NO_ROOM_PAUSE_MILLISECONDS;
    this.#spend(1);
    this.#requeue(task);
    if (!isAsked) void this.#learnRoom(lane);
  }

  /**
   * Asks an endpoint how much room is left when others' results take some.
   * After the daemon before was killed its results stay until they expire;
   * without asking, every piece is sent and turned away some times a second.
   * The answer is some hundred milliseconds old, as old as a call is long, so
   * that it counts for a moment only: kept longer, it took this daemon's own
   * results for others' and left a tenth of the room in use.
   */
  async #learnRoom(lane: EndpointLane): Promise<void> {
    const { client, timer } = this.#options;
    const free = await client.readRoom(lane.endpoint.entry);
    if (free === undefined) return;
    lane.foreignBytes = 0;
    const counted = lane.room(this.#terms, timer.now());
    lane.foreignBytes = Math.max(0, counted - free);
    timer.registerTimeout(() => {
      lane.foreignBytes = 0;
      this.pump();
    }, FOREIGN_ROOM_MILLISECONDS);
  }

  /** Another daemon's calls fill the endpoint: it is asked again later. */
  #wasFull(lane: EndpointLane, call: RunningCall): void {
    lane.pausedUntil = this.#options.timer.now() + FULL_PAUSE_MILLISECONDS;
    this.#spend(call.tasks.length);
    for (const task of call.tasks) this.#requeue(task);
  }

  #callFailed(
    lane: EndpointLane,
    call: RunningCall,
    options: { readonly isCertain: boolean; readonly reason: string },
  ): void {
    const wanted = call.tasks.filter((task) => this.#isWanted(task));
    if (wanted.length === 0 && !options.isCertain && !call.isDoubled) return;
    lane.endpoint.failed(options.isCertain, this.#options.timer.now());
    this.#log(`piece call failed: ${options.reason}`, lane, call);
    this.#again(wanted, options.isCertain ? "not_sent" : "failed");
  }

  /** Makes pieces again; what was sent before comes out of the budget. */
  #again(
    tasks: readonly PieceTask[],
    cause: "failed" | "not_sent",
  ): void {
    for (const task of tasks) {
      if (!this.#isWanted(task) || task.calls > 0) continue;
      if (cause === "failed") task.failures++;
      const isLost = task.failures >= MOST_FAILURES ||
        (cause === "failed" && !this.#spend(1));
      if (isLost) this.#options.events.failed(task.chain, "failing");
      else this.#requeue(task);
    }
  }

  #requeue(task: PieceTask): void {
    if (this.#isWanted(task)) this.enqueue([task]);
  }

  #isWanted(task: PieceTask): boolean {
    return task.chain.isOpen && !task.isQueued &&
      !task.chain.isMade(task.stage, task.piece);
  }

  #spend(count: number): boolean {
    const { budget, service, timer } = this.#options;
    return budget.trySpend(service, { count, sharers: 1, now: timer.now() });
  }

  #log(message: string, lane: EndpointLane, call: RunningCall): void {
    this.#options.log.warn(message, {
      service: this.#options.service,
      endpoint: lane.endpoint.entry.id,
      pieces: call.tasks.length,
      attempts: call.tasks.slice(0, 4).map((task) =>
        task.chain.request.attemptId
      ).join(","),
      tookMilliseconds: Math.round(
        this.#options.timer.now() - call.startedAt,
      ),
      soundMilliseconds: Math.round(call.soundTime),
    });
  }
}
