import type { ChainOutcome, PieceResult } from "./chain_outcome.ts";
import type { ChainRequest, ChainStage } from "./chain_request.ts";
import type { ReaderInput } from "../placement/reader_placement.ts";
import type { PieceTask } from "./piece_task.ts";

/**
 * Results from this size on are made as late as possible: a few of them fill
 * an endpoint's room, bytes.
 */
const LARGE_RESULT_BYTES = 1_000_000;

/** How a chain is started. */
export interface ChainRunOptions {
  readonly request: ChainRequest;
  readonly now: number;
  /** Zone of the endpoint that keeps most of the request's prompt. */
  readonly readerZone?: string | undefined;
  readonly settle: (outcome: ChainOutcome) => void;
}

/** One request's stages on their way: which pieces are made and where. */
export class ChainRun {
  readonly request: ChainRequest;
  readonly deadlineAt: number;
  readonly objectiveAt: number;
  /** Zone in which its final results will most likely be read. */
  readonly readerZone: string | undefined;
  /** False once it has its outcome; its pieces are then of no use. */
  isOpen = true;
  /** How often stages were started again because results were lost. */
  restarts = 0;
  readonly #settle: (outcome: ChainOutcome) => void;
  readonly #results: (PieceResult | undefined)[][];
  readonly #started = new Set<number>();
  readonly #freed = new Set<number>();
  readonly #begun = new Set<number>();
  /** Pieces that were sent, by stage and zone. */
  readonly #zones = new Map<number, Map<string, number>>();

  constructor(options: ChainRunOptions) {
    const { request, now } = options;
    this.request = request;
    this.deadlineAt = now + request.remainingMilliseconds;
    this.objectiveAt = now + request.objectiveMilliseconds;
    this.readerZone = options.readerZone;
    this.#settle = options.settle;
    this.#results = request.stages.map(({ pieces }) =>
      new Array<PieceResult | undefined>(pieces).fill(undefined)
    );
  }

  stage(number: number): ChainStage {
    return this.request.stages[number] as ChainStage;
  }

  /** Stages with pieces that `number` reads. */
  inputsOf(number: number): readonly number[] {
    return this.stage(number).after.filter((one) => this.stage(one).pieces > 0);
  }

  /** True when every result that stage `number` reads is there. */
  hasInputs(number: number): boolean {
    return this.inputsOf(number).every((one) => this.isStageDone(one));
  }

  /** Results that pieces of stage `number` read. */
  inputResults(number: number): readonly PieceResult[] {
    return this.inputsOf(number).flatMap((one) => this.#made(one));
  }

  isMade(stage: number, piece: number): boolean {
    return this.#results[stage]?.[piece] !== undefined;
  }

  isStageDone(stage: number): boolean {
    return (this.#results[stage] ?? []).every((one) => one !== undefined);
  }

  /** Pieces of `service` that are still to be made. */
  missingOf(service: string): number {
    let missing = 0;
    for (const [number, stage] of this.request.stages.entries()) {
      if (stage.service !== service) continue;
      for (const result of this.#results[number] ?? []) {
        if (result === undefined) missing++;
      }
    }
    return missing;
  }

  /** Puts a result down; false when the piece was made already. */
  put(task: PieceTask, result: PieceResult): boolean {
    const stage = this.#results[task.stage];
    if (stage === undefined || stage[task.piece] !== undefined) return false;
    stage[task.piece] = result;
    return true;
  }

  /** Tasks of stages that can start now and weren't started yet. */
  startReady(): readonly PieceTask[] {
    return this.request.stages.flatMap((stage, number) => {
      const isReady = stage.pieces > 0 && !this.#started.has(number) &&
        this.hasInputs(number) && this.#isDue(number);
      if (!isReady) return [];
      this.#started.add(number);
      return this.#missing(number);
    });
  }

  /** Forgets results whose maker is gone; gives the tasks to start again. */
  forgetMaker(makerId: string): readonly PieceTask[] {
    const lost = this.#stagesWith((result) => result.makerId === makerId);
    return this.#startAgain(lost, (result) => result.makerId === makerId);
  }

  /** Forgets all results that stage `number` reads: one of them is gone. */
  forgetInputs(number: number): readonly PieceTask[] {
    this.#started.delete(number);
    return this.#startAgain(this.inputsOf(number), () => true);
  }

  /** True once a piece of a stage was sent to an endpoint. */
  hasBegun(number: number): boolean {
    return this.#begun.has(number);
  }

  /** Says that a piece of a stage was sent to an endpoint in `zone`. */
  begin(number: number, zone: string): void {
    this.#begun.add(number);
    const pieces = this.#zones.get(number) ?? new Map<string, number>();
    this.#zones.set(number, pieces.set(zone, (pieces.get(zone) ?? 0) + 1));
  }

  /** Zone in which most pieces of a stage are made; undefined while none is. */
  zoneOf(number: number): string | undefined {
    let most: string | undefined;
    let count = 0;
    for (const [zone, pieces] of this.#zones.get(number) ?? []) {
      if (pieces > count) [most, count] = [zone, pieces];
    }
    return most;
  }

  /** How many pieces read each result of a stage; 1 when the request does. */
  readsOf(number: number): number {
    const readers = this.#readersOf(number);
    return readers.length === 0
      ? 1
      : readers.reduce((sum, one) => sum + this.stage(one).pieces, 0);
  }

  /** Results made so far of a stage. */
  resultsOf(number: number): readonly PieceResult[] {
    return this.#made(number);
  }

  /** True when the request itself reads the results of a stage. */
  isFinal(number: number): boolean {
    return this.#readersOf(number).length === 0;
  }

  /** Results that no stage still to be done reads, each only once. */
  takeUnneeded(): readonly PieceResult[] {
    return this.request.stages.flatMap((_, number) => {
      const readers = this.#readersOf(number);
      const isRead = readers.length > 0 &&
        readers.every((one) => this.isStageDone(one));
      if (!isRead || this.#freed.has(number)) return [];
      this.#freed.add(number);
      return this.#made(number);
    });
  }

  /** Every result made so far that wasn't taken as unneeded. */
  takeAll(): readonly PieceResult[] {
    return this.request.stages.flatMap((_, number) => {
      if (this.#freed.has(number)) return [];
      this.#freed.add(number);
      return this.#made(number);
    });
  }

  /** True once every stage that nothing else reads is done. */
  isDone(): boolean {
    return this.#leaves().every((one) => this.isStageDone(one));
  }

  /** Results that the request itself reads. */
  finalResults(): readonly PieceResult[] {
    return this.#leaves().flatMap((one) => this.#made(one));
  }

  /** The same with their sizes. */
  finalInputs(): readonly ReaderInput[] {
    return this.#leaves().flatMap((one) => {
      const bytes = this.stage(one).resultBytes;
      return this.#made(one).map((result) => ({ result, bytes }));
    });
  }

  /** Gives the outcome; later ones are dropped. */
  settle(outcome: ChainOutcome): void {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.#settle(outcome);
  }

  /**
   * Whether a stage need start by now. A large final result that is made early
   * only takes room until the longest path is done, and may expire by then;
   * it is made beside the last stages of that path.
   */
  #isDue(number: number): boolean {
    const isLarge = this.stage(number).resultBytes >= LARGE_RESULT_BYTES;
    if (!isLarge || !this.isFinal(number)) return true;
    const longest = Math.max(
      ...this.request.stages.map((_, other) =>
        other === number || this.isStageDone(other) ? 0 : this.#height(other)
      ),
    );
    return longest <= this.#height(number);
  }

  /** Stages on the longest path from a stage to the request, itself too. */
  #height(number: number): number {
    return 1 + Math.max(
      0,
      ...this.#readersOf(number).map((reader) => this.#height(reader)),
    );
  }

  #leaves(): readonly number[] {
    return this.request.stages.map((_, number) => number).filter((number) =>
      this.stage(number).pieces > 0 && this.#readersOf(number).length === 0
    );
  }

  #readersOf(number: number): readonly number[] {
    return this.request.stages.map((_, reader) => reader).filter((reader) =>
      this.stage(reader).pieces > 0 && this.inputsOf(reader).includes(number)
    );
  }

  #made(stage: number): readonly PieceResult[] {
    return (this.#results[stage] ?? []).filter((one) => one !== undefined);
  }

  #missing(stage: number): readonly PieceTask[] {
    return (this.#results[stage] ?? []).flatMap((result, piece) =>
      result === undefined
        ? [{
          chain: this,
          stage,
          piece,
          calls: 0,
          isQueued: false,
          failures: this.restarts,
        }]
        : []
    );
  }

  /** Stages not freed yet that hold a result for which `isLost` holds. */
  #stagesWith(isLost: (result: PieceResult) => boolean): readonly number[] {
    return this.request.stages.map((_, number) => number).filter((number) =>
      !this.#freed.has(number) && this.#made(number).some(isLost)
    );
  }

  #startAgain(
    stages: readonly number[],
    isLost: (result: PieceResult) => boolean,
  ): readonly PieceTask[] {
    if (stages.length === 0) return [];
    this.restarts++;
    for (const stage of stages) this.#forget(stage, isLost);
    return this.startReady();
  }

  /**
   * What a forgotten result was made from may be freed already; then that is
   * forgotten too, or the piece would ask for inputs that are gone, for ever.
   */
  #forget(stage: number, isLost: (result: PieceResult) => boolean): void {
    const results = this.#results[stage] ?? [];
    for (const [piece, result] of results.entries()) {
      if (result !== undefined && isLost(result)) results[piece] = undefined;
    }
    this.#started.delete(stage);
    this.#begun.delete(stage);
    for (const reader of this.#readersOf(stage)) {
      if (!this.isStageDone(reader)) this.#started.delete(reader);
    }
    for (const input of this.inputsOf(stage)) {
      if (this.#freed.delete(input)) this.#forget(input, () => true);
    }
  }
}
