import type { TimerService } from "kelpspar-shared";
import type { GatewayLog, LogFields } from "./gateway_log.ts";

/** Takes text; `done` is called once it was taken or failed. */
export type LineSink = (text: string, done: () => void) => void;

/** Where lines go. */
export interface LineLogOptions {
  readonly sink: LineSink;
  readonly timer: TimerService;
  /** Fields of every line. */
  readonly bound: LogFields;
}

/** Text that may wait for the sink, characters; lines beyond it are dropped. */
const MOST_WAITING_CHARACTERS = 256 * 1024;
/** How long lines wait so that several share a write, milliseconds. */
const GATHER_MILLISECONDS = 100;

/**
 * Writes JSON lines without ever waiting for them. A reader that stops reading
 * would otherwise hold the process at its next line, and with it all requests;
 * here lines are dropped and counted instead, and the next line says how many.
 */
export class LineLog implements GatewayLog {
  readonly #options: LineLogOptions;
  readonly #bound: string;
  #waiting: string[] = [];
  #waitingCharacters = 0;
  #dropped = 0;
  #isWriting = false;
  #isScheduled = false;

  constructor(options: LineLogOptions) {
    this.#options = options;
    this.#bound = JSON.stringify(options.bound).slice(1, -1);
  }

  info(message: string, fields: LogFields = {}): void {
    this.#add("info", message, fields);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.#add("warn", message, fields);
  }

  /** Writes what waits now, for the last lines of a process. */
  flush(): void {
    if (this.#isWriting || this.#waiting.length === 0) return;
    const text = this.#waiting.join("");
    this.#waiting = [];
    this.#waitingCharacters = 0;
    this.#isWriting = true;
    this.#options.sink(text, () => {
      this.#isWriting = false;
      if (this.#waiting.length > 0) this.#schedule();
    });
  }

  #add(level: string, message: string, fields: LogFields): void {
    if (this.#waitingCharacters > MOST_WAITING_CHARACTERS) {
      this.#dropped++;
      return;
    }
    const line = this.#format(level, message, fields);
    this.#waiting.push(line);
    this.#waitingCharacters += line.length;
    this.#schedule();
  }

  #format(level: string, message: string, fields: LogFields): string {
    const { timer } = this.#options;
    const head = {
      time: new Date(timer.wallClock()).toISOString(),
      at: Math.round(timer.now()),
      level,
      message,
      ...(this.#dropped > 0 ? { linesDropped: this.#dropped } : {}),
    };
    this.#dropped = 0;
    const start = JSON.stringify({ ...head, ...fields }).slice(0, -1);
    return `${start}${this.#bound === "" ? "" : `,${this.#bound}`}}\n`;
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#options.timer.registerTimeout(() => {
      this.#isScheduled = false;
      this.flush();
    }, GATHER_MILLISECONDS);
  }
}
