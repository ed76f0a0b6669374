import type { TimerService } from "kelpspar-shared";
import type { GatewayLog, LogFields } from "./gateway_log.ts";

/** Writes text; calls `done` once the write succeeded or failed. */
export type LineSink = (text: string, done: () => void) => void;

/** Options of `LineLog`. */
export interface LineLogOptions {
  readonly sink: LineSink;
  readonly timer: TimerService;
  /** Fields of every line. */
  readonly commonFields: LogFields;
}

/** Buffer limit, characters; lines beyond it are dropped. */
const MAXIMUM_BUFFERED_CHARACTERS = 256 * 1024;
/** Delay that lets several lines share a write, milliseconds. */
const FLUSH_DELAY_MILLISECONDS = 100;

/**
 * Writes JSON lines without blocking. Otherwise a reader that stops reading
 * would block the process, and thus all requests, at the next line. Lines are
 * dropped and counted instead, and the next line contains the count.
 */
export class LineLog implements GatewayLog {
  readonly #options: LineLogOptions;
  readonly #commonFieldsJson: string;
  #bufferedLines: string[] = [];
  #bufferedCharacters = 0;
  #droppedLines = 0;
  #isWriting = false;
  #isScheduled = false;

  constructor(options: LineLogOptions) {
    this.#options = options;
    this.#commonFieldsJson = JSON.stringify(options.commonFields).slice(1, -1);
  }

  info(message: string, fields: LogFields = {}): void {
    this.#append("info", message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.#append("warn", message, fields);
  }

  /** Writes buffered lines now; for the last lines of a process. */
  flush(): void {
    if (this.#isWriting || this.#bufferedLines.length === 0) return;
    const text = this.#bufferedLines.join("");
    this.#bufferedLines = [];
    this.#bufferedCharacters = 0;
    this.#isWriting = true;
    this.#options.sink(text, () => {
      this.#isWriting = false;
      if (this.#bufferedLines.length > 0) this.#schedule();
    });
  }

  #append(level: string, message: string, fields: LogFields): void {
    if (this.#bufferedCharacters > MAXIMUM_BUFFERED_CHARACTERS) {
      this.#droppedLines++;
      return;
    }
    const line = this.#format(level, message, fields);
    this.#bufferedLines.push(line);
    this.#bufferedCharacters += line.length;
    this.#schedule();
  }

  #format(level: string, message: string, fields: LogFields): string {
    const { timer } = this.#options;
    const fixedFields = {
      time: new Date(timer.wallClock()).toISOString(),
      at: Math.round(timer.now()),
      level,
      message,
      ...(this.#droppedLines > 0 ? { linesDropped: this.#droppedLines } : {}),
    };
    this.#droppedLines = 0;
    const start = JSON.stringify({ ...fixedFields, ...fields }).slice(0, -1);
    return `${start}${
      this.#commonFieldsJson === "" ? "" : `,${this.#commonFieldsJson}`
    }}\n`;
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#options.timer.registerTimeout(() => {
      this.#isScheduled = false;
      this.flush();
    }, FLUSH_DELAY_MILLISECONDS);
  }
}
