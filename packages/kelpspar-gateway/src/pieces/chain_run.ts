import type { ChainOutcome, PieceResult } from "./chain_outcome.ts";
import type { ChainRequest, ChainStage } from "./chain_request.ts";
import type { OpenWork } from "./open_work.ts";
import type { ReaderInput } from "../placement/reader_placement.ts";
import type { PieceTask } from "./piece_task.ts";

/**
 * Results of at least this size are made as late as possible: a few of them
 * fill an endpoint's room.
 */
const LARGE_RESULT_BYTES = 1_000_000;

/** Options of `ChainRun`. */
export interface ChainRunOptions {
  readonly request: ChainRequest;
  readonly now: number;
  /** Zone of the endpoint that has cached most of the request's prompt. */
  readonly readerZone?: string | undefined;
  /** Stages that an earlier run of the chain may have begun; default none. */
  readonly repeatedStages?: ReadonlySet<number> | undefined;
  /** Counts the pieces that are still to be made while the chain is open. */
  readonly work?: OpenWork | undefined;
  readonly settle: (outcome: ChainOutcome) => void;
}

/** Progress of one request's stages: which pieces are made and where. */
export class ChainRun {
  readonly request: ChainRequest;
  readonly deadlineAt: number;
  readonly objectiveAt: number;
  /** Zone in which its final results will most likely be read. */
  readonly readerZone: string | undefined;
  /** False once the chain is settled; its pieces are then no longer needed. */
  isOpen = true;
  /** Number of times that stages were restarted because results were lost. */
  restarts = 0;
  readonly #settle: (outcome: ChainOutcome) => void;
  readonly #results: (PieceResult | undefined)[][];
  /** Number of pieces still to be made, by stage. */
  readonly #missing: number[];
  readonly #work: OpenWork | undefined;
  readonly #started = new Set<number>();
  readonly #freed = new Set<number>();
  readonly #begun = new Set<number>();
  /** Number of sends of each piece, by stage. */
  readonly #sends: readonly Map<number, number>[];
  readonly #repeatedStages: ReadonlySet<number>;
  readonly #reachedServices = new Set<string>();
  readonly #expiries = new WeakMap<PieceResult, number>();
  /** Number of pieces sent, by stage and zone. */
  readonly #sentByZone = new Map<number, Map<string, number>>();

  constructor(options: ChainRunOptions) {
    const { request, now } = options;
    this.request = request;
    this.deadlineAt = now + request.remainingMilliseconds;
    this.objectiveAt = now + request.objectiveMilliseconds;
    this.readerZone = options.readerZone;
    this.#sends = request.stages.map(() => new Map<number, number>());
    this.#repeatedStages = options.repeatedStages ?? new Set();
    this.#settle = options.settle;
    this.#results = request.stages.map(({ pieces }) =>
      new Array<PieceResult | undefined>(pieces).fill(undefined)
    );
    this.#missing = request.stages.map(({ pieces }) => pieces);
    this.#work = options.work;
    for (const [number, { pieces }] of request.stages.entries()) {
      this.#countWork(number, pieces);
    }
  }

  stage(number: number): ChainStage {
    return this.request.stages[number] as ChainStage;
  }

  /** Stages with pieces whose results stage `number` reads. */
  inputsOf(number: number): readonly number[] {
    return this.stage(number).after.filter((input) =>
      this.stage(input).pieces > 0
    );
  }

  /** True when every result that stage `number` reads has been made. */
  hasInputs(number: number): boolean {
    return this.inputsOf(number).every((input) => this.isStageDone(input));
  }

  /** Results that pieces of stage `number` read. */
  inputResults(number: number): readonly PieceResult[] {
    return this.inputsOf(number).flatMap((input) =>
      this.#completedResults(input)
    );
  }

  /** When the first of the results of a stage and of its inputs expires. */
  resultsExpireAt(number: number): number {
    return Math.min(
      ...[number, ...this.inputsOf(number)].flatMap((stage) =>
        this.#completedResults(stage).map((result) =>
          this.#expiries.get(result) ?? Number.POSITIVE_INFINITY
        )
      ),
    );
  }

  /** Number of pieces that have a result. */
  get madeCount(): number {
    return this.request.stages.reduce(
      (sum, { pieces }, number) => sum + pieces - (this.#missing[number] ?? 0),
      0,
    );
  }

  isPieceDone(stage: number, piece: number): boolean {
    return this.#results[stage]?.[piece] !== undefined;
  }

  isStageDone(stage: number): boolean {
    return (this.#missing[stage] ?? 0) === 0;
  }

  /**
   * Records a result that is kept until `expiresAt`; false if the piece already
   * has one.
   */
  recordResult(
    task: Pick<PieceTask, "stage" | "piece">,
    result: PieceResult,
    expiresAt = Number.POSITIVE_INFINITY,
  ): boolean {
    const stage = this.#results[task.stage];
    if (stage === undefined || stage[task.piece] !== undefined) return false;
    stage[task.piece] = result;
    this.#expiries.set(result, expiresAt);
    this.#addMissing(task.stage, -1);
    return true;
  }

  /** Records results that an earlier run of the chain has made. */
  restoreFinalResults(
    results: readonly PieceResult[],
    expiresAt: number,
  ): void {
    const pieces = this.#finalStages().flatMap((stage) =>
      Array.from(
        { length: this.stage(stage).pieces },
        (_, piece) => ({ stage, piece }),
      )
    );
    for (const [index, task] of pieces.entries()) {
      const result = results[index];
      if (result !== undefined) this.recordResult(task, result, expiresAt);
    }
  }

  /** Starts the stages that can start now; returns their tasks. */
  startReady(): readonly PieceTask[] {
    return this.request.stages.flatMap((stage, number) => {
      const isReady = stage.pieces > 0 && !this.#started.has(number) &&
        this.hasInputs(number) && this.#isDue(number);
      if (!isReady) return [];
      this.#started.add(number);
      return this.#missingTasks(number);
    });
  }

  /** Drops results whose maker is gone; returns the tasks to restart. */
  invalidateMaker(makerId: string): readonly PieceTask[] {
    const lost = this.#stagesWith((result) => result.makerId === makerId);
    return this.#restartStages(lost, (result) => result.makerId === makerId);
  }

  /** Drops all results that stage `number` reads, as one of them is gone. */
  invalidateInputs(number: number): readonly PieceTask[] {
    this.#started.delete(number);
    return this.#restartStages(this.inputsOf(number), () => true);
  }

  /** True once a piece of a stage was sent to an endpoint. */
  hasBegun(number: number): boolean {
    return this.#begun.has(number);
  }

  /**
   * Records that a piece was sent to an endpoint in `zone`; returns whether it
   * may have been sent before.
   */
  recordSend(
    task: Pick<PieceTask, "stage" | "piece" | "isRepeat">,
    zone: string,
  ): boolean {
    const { stage, piece } = task;
    const isRepeat = this.#wasSent(stage, piece);
    task.isRepeat = true;
    this.#begun.add(stage);
    this.#addSends(stage, piece, 1);
    const pieces = this.#sentByZone.get(stage) ?? new Map<string, number>();
    this.#sentByZone.set(stage, pieces.set(zone, (pieces.get(zone) ?? 0) + 1));
    return isRepeat;
  }

  /** Takes back a send that left nothing at an endpoint. */
  withdrawSend(
    task: Pick<PieceTask, "stage" | "piece" | "isRepeat">,
    zone: string,
  ): void {
    const { stage, piece } = task;
    this.#addSends(stage, piece, -1);
    task.isRepeat = this.#wasSent(stage, piece);
    const pieces = this.#sentByZone.get(stage);
    pieces?.set(zone, (pieces.get(zone) ?? 0) - 1);
  }

  /**
   * Records that the request reached a service; returns whether it is the first
   * time, in this run and in earlier ones.
   */
  recordRequestAt(service: string): boolean {
    if (this.#reachedServices.has(service)) return false;
    this.#reachedServices.add(service);
    return ![...this.#repeatedStages].some((number) =>
      this.stage(number).service === service
    );
  }

  /** Zone to which most pieces of a stage were sent; undefined if none was. */
  zoneOf(number: number): string | undefined {
    let most: string | undefined;
    let count = 0;
    for (const [zone, pieces] of this.#sentByZone.get(number) ?? []) {
      if (pieces > count) [most, count] = [zone, pieces];
    }
    return most;
  }

  /** Number of pieces that read each result of a stage; 1 for the request. */
  readCountOf(number: number): number {
    const readers = this.#readersOf(number);
    return readers.length === 0
      ? 1
      : readers.reduce((sum, reader) => sum + this.stage(reader).pieces, 0);
  }

  /** Results of a stage made so far. */
  resultsOf(number: number): readonly PieceResult[] {
    return this.#completedResults(number);
  }

  /** True when the request itself reads the results of a stage. */
  isFinal(number: number): boolean {
    return this.#readersOf(number).length === 0;
  }

  /** Results that no unfinished stage reads; returns each result only once. */
  releaseUnneeded(): readonly PieceResult[] {
    return this.request.stages.flatMap((_, number) => {
      const readers = this.#readersOf(number);
      const isRead = readers.length > 0 &&
        readers.every((reader) => this.isStageDone(reader));
      if (!isRead || this.#freed.has(number)) return [];
      this.#freed.add(number);
      return this.#completedResults(number);
    });
  }

  /** Every result made so far that wasn't released as unneeded. */
  releaseAll(): readonly PieceResult[] {
    return this.request.stages.flatMap((_, number) => {
      if (this.#freed.has(number)) return [];
      this.#freed.add(number);
      return this.#completedResults(number);
    });
  }

  /** True once every stage that the request itself reads is done. */
  isDone(): boolean {
    return this.#finalStages().every((stage) => this.isStageDone(stage));
  }

  /** Results that the request itself reads. */
  finalResults(): readonly PieceResult[] {
    return this.#finalStages().flatMap((stage) =>
      this.#completedResults(stage)
    );
  }

  /** Results that the request itself reads, with their sizes. */
  finalInputs(): readonly ReaderInput[] {
    return this.#finalStages().flatMap((number) => {
      const bytes = this.stage(number).resultBytes;
      return this.#completedResults(number).map((result) => ({
        result,
        bytes,
      }));
    });
  }

  /** Settles the chain; later outcomes are ignored. */
  settle(outcome: ChainOutcome): void {
    if (!this.isOpen) return;
    for (const [number, missing] of this.#missing.entries()) {
      this.#countWork(number, -missing);
    }
    this.isOpen = false;
    this.#settle(outcome);
  }

  /**
   * Whether a stage should start now. A large final result made early only takes
   * room until the longest path is done, and may expire by then; it is made at
   * the same time as the last stages of that path.
   */
  #isDue(number: number): boolean {
    const isLarge = this.stage(number).resultBytes >= LARGE_RESULT_BYTES;
    if (!isLarge || !this.isFinal(number)) return true;
    const longest = Math.max(
      ...this.request.stages.map((_, other) =>
        other === number || this.isStageDone(other)
          ? 0
          : this.#pathLength(other)
      ),
    );
    return longest <= this.#pathLength(number);
  }

  /** Number of stages on the longest path from a stage, included, to the end. */
  #pathLength(number: number): number {
    return 1 + Math.max(
      0,
      ...this.#readersOf(number).map((reader) => this.#pathLength(reader)),
    );
  }

  #addMissing(stage: number, count: number): void {
    this.#missing[stage] = (this.#missing[stage] ?? 0) + count;
    this.#countWork(stage, count);
  }

  #countWork(stage: number, count: number): void {
    if (!this.isOpen || count === 0) return;
    const { priority } = this.request;
    this.#work?.add(this.stage(stage).service, { priority, count });
  }

  /** Whether a piece may have been sent before, by this daemon or another. */
  #wasSent(stage: number, piece: number): boolean {
    return this.#repeatedStages.has(stage) ||
      (this.#sends[stage]?.get(piece) ?? 0) > 0;
  }

  #addSends(stage: number, piece: number, count: number): void {
    const sends = this.#sends[stage];
    sends?.set(piece, (sends.get(piece) ?? 0) + count);
  }

  #finalStages(): readonly number[] {
    return this.request.stages.map((_, number) => number).filter((number) =>
      this.stage(number).pieces > 0 && this.#readersOf(number).length === 0
    );
  }

  #readersOf(number: number): readonly number[] {
    return this.request.stages.map((_, reader) => reader).filter((reader) =>
      this.stage(reader).pieces > 0 && this.inputsOf(reader).includes(number)
    );
  }

  #completedResults(stage: number): readonly PieceResult[] {
    return (this.#results[stage] ?? []).filter((result) =>
      result !== undefined
    );
  }

  #missingTasks(stage: number): readonly PieceTask[] {
    return (this.#results[stage] ?? []).flatMap((result, piece) =>
      result === undefined
        ? [{
          chain: this,
          stage,
          piece,
          calls: 0,
          isQueued: false,
          failures: this.restarts,
          isRepeat: this.#wasSent(stage, piece),
          retryCause: "restart" as const,
        }]
        : []
    );
  }

  /** Stages that were not freed and have a result matching `isLost`. */
  #stagesWith(isLost: (result: PieceResult) => boolean): readonly number[] {
    return this.request.stages.map((_, number) => number).filter((number) =>
      !this.#freed.has(number) && this.#completedResults(number).some(isLost)
    );
  }

  #restartStages(
    stages: readonly number[],
    isLost: (result: PieceResult) => boolean,
  ): readonly PieceTask[] {
    if (stages.length === 0) return [];
    this.restarts++;
    for (const stage of stages) this.#invalidate(stage, isLost);
    return this.startReady();
  }

  /**
   * The inputs of a dropped result may already be freed; then they are dropped
   * too, otherwise the piece would request missing inputs forever.
   */
  #invalidate(stage: number, isLost: (result: PieceResult) => boolean): void {
    const results = this.#results[stage] ?? [];
    for (const [piece, result] of results.entries()) {
      if (result === undefined || !isLost(result)) continue;
      results[piece] = undefined;
      this.#addMissing(stage, 1);
    }
    this.#started.delete(stage);
    this.#begun.delete(stage);
    for (const reader of this.#readersOf(stage)) {
      if (!this.isStageDone(reader)) this.#started.delete(reader);
    }
    for (const input of this.inputsOf(stage)) {
      if (this.#freed.delete(input)) this.#invalidate(input, () => true);
    }
  }
}
