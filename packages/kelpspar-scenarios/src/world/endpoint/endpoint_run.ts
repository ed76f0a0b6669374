import type { ManualTimer, StageCall } from "kelpspar-shared";
import type { RecordWriter, ResultPiece } from "./record_writer.ts";

/** The outcome of a call at the endpoint. */
export type CallOutcome =
  | "answer"
  | "fail"
  | "lose_answer"
  | "hang"
  | "cut"
  | "gap";

/** Parameters of an `EndpointRun`. */
export interface EndpointRunOptions {
  readonly call: StageCall;
  readonly output: string;
  readonly outcome: CallOutcome;
  /** Duration of the whole call. */
  readonly milliseconds: number;
  readonly splitsCharacters: boolean;
  /** True to send each piece as it is generated instead of all at the end. */
  readonly isStreaming: boolean;
  readonly timer: ManualTimer;
  readonly onEnd: () => void;
}

const PIECE_COUNT = 4;

/** One call that an endpoint runs. */
export class EndpointRun {
  readonly options: EndpointRunOptions;
  readonly #pieces: readonly ResultPiece[];
  readonly #startedAt: number;
  #writer: RecordWriter;
  #writtenPieces = 0;
  #isFinished = false;
  #timerTeardowns: (() => void)[] = [];

  constructor(options: EndpointRunOptions, writer: RecordWriter) {
    this.options = options;
    this.#pieces = splitIntoPieces(options.output, {
      splitsCharacters: options.splitsCharacters,
    });
    this.#startedAt = options.timer.now();
    this.#writer = writer;
  }

  get isFinished(): boolean {
    return this.#isFinished;
  }

  start(): void {
    const { timer, milliseconds, isStreaming } = this.options;
    const interval = milliseconds / this.#pieces.length;
    for (let index = 1; index < this.#pieces.length && isStreaming; index++) {
      this.#timerTeardowns.push(
        timer.registerTimeout(() => this.#writeUpTo(index), interval * index),
      );
    }
    this.#timerTeardowns.push(
      timer.registerTimeout(() => this.#finish(), milliseconds),
    );
  }

  /** Resumes the stream at an offset on another connection. */
  resume(writer: RecordWriter, offset: number): void {
    this.#writer = writer;
    for (const piece of this.#pieces.slice(0, this.#writtenPieces)) {
      if (piece.offset + piece.text.length <= offset) continue;
      writer.piece(piece);
    }
    if (this.#isFinished) writer.end(this.options.output.length, 0);
  }

  /** Stops immediately: the endpoint died or the call was cancelled. */
  stop(): void {
    for (const unregister of this.#timerTeardowns) unregister();
    this.#writer.break();
  }

  #writeUpTo(count: number): void {
    const { outcome, call } = this.options;
    const from = call.resumeOffset ?? 0;
    const pieceLimit = outcome === "cut" || outcome === "fail"
      ? Math.min(count, Math.floor(this.#pieces.length / 2))
      : count;
    for (; this.#writtenPieces < pieceLimit; this.#writtenPieces++) {
      const piece = this.#pieces[this.#writtenPieces];
      if (piece === undefined || outcome === "hang") continue;
      if (outcome === "lose_answer" && !this.options.isStreaming) continue;
      if (outcome === "gap" && this.#writtenPieces === 1) continue;
      if (piece.offset + piece.text.length <= from) continue;
      this.#writer.piece(piece);
    }
  }

  #finish(): void {
    const { outcome, output, timer } = this.options;
    this.#writeUpTo(this.#pieces.length);
    this.#isFinished = true;
    this.options.onEnd();
    const elapsed = timer.now() - this.#startedAt;
    const endings: Readonly<Record<CallOutcome, () => void>> = {
      answer: () => this.#writer.end(output.length, elapsed),
      gap: () => this.#writer.end(output.length, elapsed),
      fail: () => this.#writer.failure(true, "failed"),
      lose_answer: () => this.#writer.break(),
      hang: () => {},
      cut: () => this.#writer.close(),
    };
    endings[outcome]();
  }
}

function splitIntoPieces(
  text: string,
  options: { readonly splitsCharacters: boolean },
): readonly ResultPiece[] {
  const characters = [...text];
  const size = Math.ceil(characters.length / PIECE_COUNT);
  const pieces: ResultPiece[] = [];
  let offset = 0;
  for (let start = 0; start < characters.length; start += size) {
    const whole = characters.slice(start, start + size).join("");
    const halves = options.splitsCharacters
      ? splitSurrogatePair(whole)
      : [whole];
    for (const piece of halves) {
      pieces.push({ offset, text: piece });
      offset += piece.length;
    }
  }
  return pieces;
}

/** Splits a text inside its first surrogate pair, if it has one. */
function splitSurrogatePair(text: string): readonly string[] {
  const high = text.search(/[\uD800-\uDBFF]/);
  if (high < 0) return [text];
  return [text.slice(0, high + 1), text.slice(high + 1)];
}
