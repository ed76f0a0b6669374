import type { LoadReport, StageCall, TimerService } from "kelpspar-shared";
import type { JsonRoute } from "../../http/json_route.ts";
import type { CallFate } from "../call_faults.ts";
import type { EndpointCore } from "../endpoint_core.ts";
import type { PlainSettings } from "../endpoint_settings.ts";
import type { ExecutionLog } from "../execution_log.ts";
import type { FaultScript } from "../fault_injector.ts";
import type { RecordWriter } from "../record_writer.ts";
import { writeFailure } from "../write_failure.ts";
import { plainAnswer } from "./plain_answer.ts";

/** What a plain service is made of. */
export interface PlainServiceOptions {
  readonly settings: PlainSettings;
  readonly service: string;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly script: FaultScript;
  readonly log: ExecutionLog;
}

interface PlainCall {
  readonly call: StageCall;
  readonly writer: RecordWriter;
  readonly fate: CallFate;
  startedAt: number | undefined;
  stopTimer: () => void;
}

/**
 * A service that runs so many calls at a time, first come, first served. It
 * runs what it was sent, whether or not the connection lives.
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
    const fate = this.#options.script.drawFate();
    const reason = this.#whyNot(call, fate);
    if (reason !== undefined) {
      this.#options.log.refuse();
      writeFailure(writer, { call, started: false, reason });
      return () => {};
    }
    this.#accepted += 1;
    const stopTimer = (): void => {};
    this.#waiting.push({ call, writer, fate, startedAt: undefined, stopTimer });
    this.#startNext();
    return () => {};
  }

  cancel(attemptId: string): void {
    const isWanted = ({ call }: PlainCall): boolean =>
      call.attemptId === attemptId;
    const waiting = this.#waiting.filter(isWanted);
    this.#waiting = this.#waiting.filter((entry) => !isWanted(entry));
    for (const { call, writer } of waiting) {
      writeFailure(writer, { call, started: false, reason: "cancelled" });
    }
    for (const entry of [...this.#running].filter(isWanted)) {
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

  #whyNot(
    call: StageCall,
    fate: CallFate,
  ): "leaving" | "failed" | "overloaded" | "unknown_attempt" | undefined {
    const { settings } = this.#options;
    if (this.#isLeaving) return "leaving";
    if (call.resumeAttemptId !== undefined) return "unknown_attempt";
    if (fate.fails === "before") return "failed";
    const held = this.#running.size + this.#waiting.length;
    const most = settings.concurrency + settings.maximumWaiting;
    return held >= most ? "overloaded" : undefined;
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
    if (entry.fate.fails === "running") {
      entry.stopTimer = timer.registerTimeout(
        () => this.#stop(entry, "failed"),
        milliseconds * entry.fate.progress,
      );
      return;
    }
    entry.stopTimer = timer.registerTimeout(
      () => this.#complete(entry),
      milliseconds,
    );
  }

  #drawServiceTime(): number {
    const { settings, script } = this.#options;
    const around = 1 + settings.spread * (2 * script.random.next() - 1);
    return settings.serviceMilliseconds * around * script.faults.slowFactor;
  }

  #complete(entry: PlainCall): void {
    const runnerMilliseconds = this.#release(entry);
    this.#options.log.complete();
    if (entry.fate.losesAnswer) entry.writer.drop();
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
    log.spend(spent);
    return spent;
  }

  #finishLeaving(): void {
    if (!this.#isLeaving) return;
    if (this.#running.size + this.#waiting.length > 0) return;
    for (const resolve of this.#onLeft) resolve();
    this.#onLeft = [];
  }
}
