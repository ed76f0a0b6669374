import type {
  AnswerRecord,
  DaemonAddress,
  FailureRecord,
  TimerService,
} from "kelpspar-shared";
import type { AnswerText } from "../answer/answer_text.ts";
import type { DaemonExchange } from "../transport/daemon_exchange.ts";
import type { DaemonTransport } from "../transport/daemon_transport.ts";
import type { AttemptResult, CutResult } from "./attempt_result.ts";
import { ExchangeFailure } from "../transport/exchange_failure.ts";
import { ProgressWatchdog } from "../transport/progress_watchdog.ts";
import { drainRecords, readRecords } from "../transport/read_records.ts";

/** Options of an `Attempt`. */
export interface AttemptOptions {
  readonly transport: DaemonTransport;
  readonly timer: TimerService;
  readonly progressTimeoutMilliseconds: number;
  readonly exchange: Omit<DaemonExchange, "signal">;
  readonly signal: AbortSignal;
  /** Receives the run's text. */
  readonly text: AnswerText;
  /** The id of the run that the exchange must concern, if known. */
  readonly expectedRequestId: string | undefined;
  /** True when the stream must belong to that run. */
  readonly isAttaching: boolean;
}

/** One exchange with a daemon; adds the received records to the text. */
export class Attempt {
  readonly #daemon: DaemonAddress;
  readonly #options: AttemptOptions;
  readonly #watchdog: ProgressWatchdog;
  readonly #startOffset: number;
  #requestId: string | undefined;

  constructor(daemon: DaemonAddress, options: AttemptOptions) {
    this.#daemon = daemon;
    this.#options = options;
    this.#startOffset = options.text.offset;
    this.#watchdog = new ProgressWatchdog({
      timer: options.timer,
      milliseconds: options.progressTimeoutMilliseconds,
      signal: options.signal,
    });
  }

  /** The id of the run, once the daemon has sent it. */
  get requestId(): string | undefined {
    return this.#requestId;
  }

  /** Yields each time there may be new text; never throws. */
  async *run(): AsyncGenerator<void, AttemptResult, void> {
    let result: AttemptResult | undefined;
    let records: AsyncGenerator<AnswerRecord, void, void> | undefined;
    try {
      records = await this.#open();
      for (;;) {
        const next = await records.next();
        if (next.done) return this.#toCutResult("The end record is missing");
        result = this.#onRecord(next.value);
        if (result !== undefined) return result;
        yield;
      }
    } catch (error) {
      return this.#toErrorResult(error);
    } finally {
      const isDone = result !== undefined && result.type !== "cut";
      if (isDone && records !== undefined) {
        void drainRecords(records, this.#watchdog);
      } else this.#watchdog.end();
    }
  }

  async #open(): Promise<AsyncGenerator<AnswerRecord, void, void>> {
    const { exchange, transport } = this.#options;
    const { signal } = this.#watchdog;
    const opened = await this.#watchdog.waitFor(
      transport.open(this.#daemon, { ...exchange, signal }),
    );
    return readRecords(opened, this.#watchdog);
  }

  #toErrorResult(error: unknown): AttemptResult {
    if (this.#watchdog.hasTimedOut) {
      this.#options.transport.renewConnections(this.#daemon);
    }
    const message = error instanceof Error ? error.message : String(error);
    const isRefused = error instanceof ExchangeFailure && error.nothingArrived;
    return isRefused
      ? { type: "refused", message }
      : this.#toCutResult(message);
  }

  #onRecord(record: AnswerRecord): AttemptResult | undefined {
    if (record.type === "accepted") return this.#onAccepted(record.requestId);
    if (record.type === "failure") return this.#toFailedResult(record);
    if (this.#requestId === undefined) return undefined;
    const { text } = this.#options;
    if (record.type === "chunk") text.addChunk(record);
    else if (record.requestId === this.#requestId) text.addEnd(record);
    const answer = text.toAnswer();
    if (answer !== undefined) return { type: "whole", answer };
    if (text.state === "incomplete") return undefined;
    return this.#toCutResult("The text does not match its end record");
  }

  /**
   * Aborts a stream of a request other than the one attached to, because it
   * would append another request's text to this one's.
   */
  #onAccepted(requestId: string): CutResult | undefined {
    const { expectedRequestId, isAttaching } = this.#options;
    if (isAttaching && requestId !== expectedRequestId) {
      return this.#toCutResult(`The stream is of request "${requestId}"`);
    }
    this.#requestId = requestId;
    return undefined;
  }

  /** Only a failure within the run's own stream applies to the run. */
  #toFailedResult(record: FailureRecord): AttemptResult {
    const accepted = this.#requestId;
    const { expectedRequestId = accepted } = this.#options;
    const { requestId = accepted } = record;
    const isOwn = accepted !== undefined && accepted === expectedRequestId &&
      accepted === requestId;
    return { type: "failed", record, accepted: isOwn };
  }

  #toCutResult(message: string): CutResult {
    const { text } = this.#options;
    return {
      type: "cut",
      message: `The answer was cut off: ${message}`,
      accepted: this.#requestId !== undefined,
      progressed: text.offset > this.#startOffset,
      corrupt: text.state === "corrupt",
    };
  }
}
