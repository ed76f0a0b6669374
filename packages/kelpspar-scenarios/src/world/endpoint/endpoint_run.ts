import type { ManualTimer, StageCall } from "kelpspar-shared";
import type { RecordWriter, ResultPiece } from "./record_writer.ts";

/** How a call ends at the endpoint. */
export type RunFate =
  | "answer"
  | "fail"
  | "lose_answer"
  | "hang"
  | "cut"
  | "gap";

/** What an endpoint runs. */
export interface EndpointRunOptions {
  readonly call: StageCall;
  readonly output: string;
  readonly fate: RunFate;
  /** How long the whole call takes, milliseconds. */
  readonly milliseconds: number;
  readonly splitsCharacters: boolean;
  /** True when the pieces come one by one, as they are generated. */
  readonly isStream: boolean;
  readonly timer: ManualTimer;
  readonly onEnd: () => void;
}

const PIECES = 4;

/** One call while an endpoint runs it. */
export class EndpointRun {
  readonly options: EndpointRunOptions;
  readonly #pieces: readonly ResultPiece[];
  readonly #startedAt: number;
  #writer: RecordWriter;
  #written = 0;
  #isOver = false;
  #stopTimers: (() => void)[] = [];

  constructor(options: EndpointRunOptions, writer: RecordWriter) {
    this.options = options;
    this.#pieces = cutIntoPieces(options.output, {
      splitsCharacters: options.splitsCharacters,
    });
    this.#startedAt = options.timer.now();
    this.#writer = writer;
  }

  get isOver(): boolean {
    return this.#isOver;
  }

  start(): void {
    const { timer, milliseconds, isStream } = this.options;
    const step = milliseconds / this.#pieces.length;
    for (let index = 1; index < this.#pieces.length && isStream; index++) {
      this.#stopTimers.push(
        timer.registerTimeout(() => this.#writeUpTo(index), step * index),
      );
    }
    this.#stopTimers.push(
      timer.registerTimeout(() => this.#finish(), milliseconds),
    );
  }

  /** Another connection takes the stream up at an offset. */
  resume(writer: RecordWriter, offset: number): void {
    this.#writer = writer;
    for (const piece of this.#pieces.slice(0, this.#written)) {
      if (piece.offset + piece.text.length <= offset) continue;
      writer.piece(piece);
    }
    if (this.#isOver) writer.end(this.options.output.length, 0);
  }

  /** Stops at once: the endpoint died or was told to. */
  stop(): void {
    for (const stopTimer of this.#stopTimers) stopTimer();
    this.#writer.break();
  }

  #writeUpTo(count: number): void {
    const { fate, call } = this.options;
    const from = call.resumeOffset ?? 0;
    const last = fate === "cut" || fate === "fail"
      ? Math.min(count, Math.floor(this.#pieces.length / 2))
      : count;
    for (; this.#written < last; this.#written++) {
      const piece = this.#pieces[this.#written];
      if (piece === undefined || fate === "hang") continue;
      if (fate === "lose_answer" && !this.options.isStream) continue;
      if (fate === "gap" && this.#written === 1) continue;
      if (piece.offset + piece.text.length <= from) continue;
      this.#writer.piece(piece);
    }
  }

  #finish(): void {
    const { fate, output, timer } = this.options;
    this.#writeUpTo(this.#pieces.length);
    this.#isOver = true;
    this.options.onEnd();
    const spent = timer.now() - this.#startedAt;
    const endings: Readonly<Record<RunFate, () => void>> = {
      answer: () => this.#writer.end(output.length, spent),
      gap: () => this.#writer.end(output.length, spent),
      fail: () => this.#writer.failure(true, "failed"),
      lose_answer: () => this.#writer.break(),
      hang: () => {},
      cut: () => this.#writer.close(),
    };
    endings[fate]();
  }
}

function cutIntoPieces(
  text: string,
  options: { readonly splitsCharacters: boolean },
): readonly ResultPiece[] {
  const characters = [...text];
  const size = Math.ceil(characters.length / PIECES);
  const pieces: ResultPiece[] = [];
  let offset = 0;
  for (let start = 0; start < characters.length; start += size) {
    const whole = characters.slice(start, start + size).join("");
    const halves = options.splitsCharacters ? splitPair(whole) : [whole];
    for (const piece of halves) {
      pieces.push({ offset, text: piece });
      offset += piece.length;
    }
  }
  return pieces;
}

/** Two pieces, parted between the units of the first pair; one without any. */
function splitPair(text: string): readonly string[] {
  const high = text.search(/[\uD800-\uDBFF]/);
  if (high < 0) return [text];
  return [text.slice(0, high + 1), text.slice(high + 1)];
}
