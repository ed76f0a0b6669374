import type { LoadReport, StageCall, TimerService } from "kelpspar-shared";
import type { JsonRoute } from "../../http/json_route.ts";
import type { CallFaults } from "../call_faults.ts";
import type { EndpointCore } from "../endpoint_core.ts";
import type { PlainSettings } from "../endpoint_settings.ts";
import type { ExecutionLog } from "../execution_log.ts";
import type { FaultInjector } from "../fault_injector.ts";
import type { RecordWriter } from "../record_writer.ts";
import { writeFailure } from "../write_failure.ts";
import { plainAnswer } from "./plain_answer.ts";

/** Settings and dependencies of a plain service. */
export interface PlainServiceOptions {
  readonly settings: PlainSettings;
  readonly service: string;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly injector: FaultInjector;
  readonly log: ExecutionLog;
}

interface PlainCall {
  readonly call: StageCall;
  readonly writer: RecordWriter;
  readonly faults: CallFaults;
  startedAt: number | undefined;
  stopTimer: () => void;
}

/**
 * A service that runs a limited number of calls at a time, in FIFO order. It
 * runs accepted calls even if their connection breaks.
 */
export class PlainService implements EndpointCore {
  readonly routes: readonly JsonRoute[] = [];
  readonly #options: PlainServiceOptions;
  readonly #running = new Set<PlainCall>();
  #waiting: PlainCall[] = [];
  #accepted = 0;
  #sequence = 0;
  #isLeaving = false;
  #onLeft: (() => void)[] = [];

  constructor(options: PlainServiceOptions) {
    this.#options = options;
  }

  call(call: StageCall, writer: RecordWriter): () => void {
    const faults = this.#options.injector.drawCallFaults();
    const reason = this.#findRefusalReason(call, faults);
    if (reason !== undefined) {
      this.#options.log.recordRefusal();
      writeFailure(writer, { call, started: false, reason });
      return () => {};
    }
    this.#accepted += 1;
    const stopTimer = (): void => {};
    this.#waiting.push({
      call,
      writer,
      faults,
      startedAt: undefined,
      stopTimer,
    });
    this.#startNext();
    return () => {};
  }

  cancel(attemptId: string): void {
    const isCancelled = ({ call }: PlainCall): boolean =>
      call.attemptId === attemptId;
    const waiting = this.#waiting.filter(isCancelled);
    this.#waiting = this.#waiting.filter((entry) => !isCancelled(entry));
    for (const { call, writer } of waiting) {
      writeFailure(writer, { call, started: false, reason: "cancelled" });
    }
    for (const entry of [...this.#running].filter(isCancelled)) {
      this.#stop(entry, "cancelled");
    }
  }

  load(): LoadReport {
    this.#sequence += 1;
    return {
      incarnation: this.#options.incarnation,
      sequence: this.#sequence,
      state: this.#isLeaving ? "leaving" : "ready",
      running: this.#running.size,
      waiting: this.#waiting.length,
      concurrency: this.#options.settings.concurrency,
      accepted: this.#accepted,
      queuedTokens: 0,
      models: {},
      adapters: [],
      role: "service",
    };
  }

  leave(): Promise<void> {
    this.#isLeaving = true;
    return new Promise((resolve) => {
      this.#onLeft.push(resolve);
      this.#finishLeaving();
    });
  }

  close(): void {
    for (const { stopTimer } of this.#running) stopTimer();
    this.#running.clear();
    this.#waiting = [];
  }

  #findRefusalReason(
    call: StageCall,
    faults: CallFaults,
  ): "leaving" | "failed" | "overloaded" | "unknown_attempt" | undefined {
    const { settings } = this.#options;
    if (this.#isLeaving) return "leaving";
    if (call.resumeAttemptId !== undefined) return "unknown_attempt";
    if (faults.fails === "before") return "failed";
    const count = this.#running.size + this.#waiting.length;
    const maximum = settings.concurrency + settings.maximumWaiting;
    return count >= maximum ? "overloaded" : undefined;
  }

  #startNext(): void {
    while (this.#running.size < this.#options.settings.concurrency) {
      const next = this.#waiting.shift();
      if (next === undefined) break;
      this.#start(next);
    }
    this.#finishLeaving();
  }

  #start(entry: PlainCall): void {
    const { timer, log } = this.#options;
    this.#running.add(entry);
    log.start(entry.call);
    entry.startedAt = timer.now();
    const milliseconds = this.#drawServiceTime();
    if (entry.faults.fails === "running") {
      entry.stopTimer = timer.registerTimeout(
        () => this.#stop(entry, "failed"),
        milliseconds * entry.faults.progress,
      );
      return;
    }
    entry.stopTimer = timer.registerTimeout(
      () => this.#complete(entry),
      milliseconds,
    );
  }

  #drawServiceTime(): number {
    const { settings, injector } = this.#options;
    const factor = 1 + settings.spread * (2 * injector.random.next() - 1);
    return settings.serviceMilliseconds * factor * injector.faults.slowFactor;
  }

  #complete(entry: PlainCall): void {
    const runnerMilliseconds = this.#release(entry);
    this.#options.log.complete();
    if (entry.faults.losesAnswer) entry.writer.drop();
    else this.#answer(entry, runnerMilliseconds);
    this.#startNext();
  }

  #answer({ call, writer }: PlainCall, runnerMilliseconds: number): void {
    const { settings, service } = this.#options;
    const { requestId, stageId, attemptId } = call;
    const ids = { requestId, stageId, attemptId };
    const text = plainAnswer(settings.marker ?? service, call.input, settings);
    writer.write({ type: "chunk", ...ids, offset: 0, text });
    writer.write({
      type: "end",
      ...ids,
      length: text.length,
      runnerMilliseconds,
      tokensIn: 0,
      tokensOut: 0,
    });
    writer.end();
  }

  #stop(entry: PlainCall, reason: "failed" | "cancelled"): void {
    entry.stopTimer();
    this.#release(entry);
    const { call, writer } = entry;
    writeFailure(writer, { call, started: true, reason });
    this.#startNext();
  }

  #release(entry: PlainCall): number {
    this.#running.delete(entry);
    const { timer, log } = this.#options;
    const spent = timer.now() - (entry.startedAt ?? timer.now());
    log.recordRunnerTime(spent);
    return spent;
  }

  #finishLeaving(): void {
    if (!this.#isLeaving) return;
    if (this.#running.size + this.#waiting.length > 0) return;
    for (const resolve of this.#onLeft) resolve();
    this.#onLeft = [];
  }
}
