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
import { ProgressWatch } from "../transport/progress_watchdog.ts";
import { drainRecords, readRecords } from "../transport/read_records.ts";

/** One exchange of a run. */
export interface AttemptOptions {
  readonly transport: DaemonTransport;
  readonly timer: TimerService;
  readonly progressTimeoutMilliseconds: number;
  readonly exchange: Omit<DaemonExchange, "signal">;
  readonly signal: AbortSignal;
  /** Where the run's text goes. */
  readonly text: AnswerText;
  /** The run that the exchange should be about, where it is known. */
  readonly expectedRequestId: string | undefined;
  /** True when the stream must be of that run and no other. */
  readonly isAttaching: boolean;
}

/** Makes one exchange with a daemon and puts what it brings into a text. */
export class Attempt {
  readonly #daemon: DaemonAddress;
  readonly #options: AttemptOptions;
  readonly #watch: ProgressWatch;
  readonly #startOffset: number;
  #requestId: string | undefined;

  constructor(daemon: DaemonAddress, options: AttemptOptions) {
    this.#daemon = daemon;
    this.#options = options;
    this.#startOffset = options.text.offset;
    this.#watch = new ProgressWatch({
      timer: options.timer,
      milliseconds: options.progressTimeoutMilliseconds,
      signal: options.signal,
    });
  }

  /** The id of the run, once the daemon named it. */
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
        if (next.done) return this.#cut("It ended before its end record");
        result = this.#take(next.value);
        if (result !== undefined) return result;
        yield;
      }
    } catch (error) {
      return this.#fail(error);
    } finally {
      const isDone = result !== undefined && result.type !== "cut";
      if (isDone && records !== undefined) {
        void drainRecords(records, this.#watch);
      } else this.#watch.end();
    }
  }

  async #open(): Promise<AsyncGenerator<AnswerRecord, void, void>> {
    const { exchange, transport } = this.#options;
    const { signal } = this.#watch;
    const opened = await this.#watch.step(
      transport.open(this.#daemon, { ...exchange, signal }),
    );
    return readRecords(opened, this.#watch);
  }

  #fail(error: unknown): AttemptResult {
    if (this.#watch.isSilent) {
      this.#options.transport.renewConnections(this.#daemon);
    }
    const message = error instanceof Error ? error.message : String(error);
    const isRefused = error instanceof ExchangeFailure && error.nothingArrived;
    return isRefused ? { type: "refused", message } : this.#cut(message);
  }

  #take(record: AnswerRecord): AttemptResult | undefined {
    if (record.type === "accepted") return this.#accept(record.requestId);
    if (record.type === "failure") return this.#toFailed(record);
    if (this.#requestId === undefined) return undefined;
    const { text } = this.#options;
    if (record.type === "chunk") text.addChunk(record);
    else if (record.requestId === this.#requestId) text.addEnd(record);
    const answer = text.toAnswer();
    if (answer !== undefined) return { type: "whole", answer };
    if (text.state === "incomplete") return undefined;
    return this.#cut("The text is not the one that its end describes");
  }

  /**
   * A stream of another request than the one attached to would put foreign
   * text behind this request's; it is left at once.
   */
  #accept(requestId: string): CutResult | undefined {
    const { expectedRequestId, isAttaching } = this.#options;
    if (isAttaching && requestId !== expectedRequestId) {
      return this.#cut(`It is of another request, "${requestId}"`);
    }
    this.#requestId = requestId;
    return undefined;
  }

  /** Only a failure within the run's own stream speaks of the run. */
  #toFailed(record: FailureRecord): AttemptResult {
    const accepted = this.#requestId;
    const { expectedRequestId = accepted } = this.#options;
    const { requestId = accepted } = record;
    const isOwn = accepted !== undefined && accepted === expectedRequestId &&
      accepted === requestId;
    return { type: "failed", record, accepted: isOwn };
  }

  #cut(message: string): CutResult {
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
