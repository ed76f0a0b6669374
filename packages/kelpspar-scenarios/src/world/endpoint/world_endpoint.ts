import type {
  EndpointAddress,
  LoadReport,
  ManualTimer,
  RandomSource,
  StageCall,
} from "kelpspar-shared";
import type { CallChannel } from "./call_channel.ts";
import type { EndpointFaults } from "./endpoint_faults.ts";
import type { ExecutionLog } from "./execution_log.ts";
import { readToken } from "kelpspar-standins";
import { answerCall } from "./answer_call.ts";
import { NO_ENDPOINT_FAULTS } from "./endpoint_faults.ts";
import { fateOfCall } from "./choose_call_outcome.ts";
import { EndpointRun } from "./endpoint_run.ts";
import { RecordWriter } from "./record_writer.ts";

/** What an endpoint is. */
export interface WorldEndpointOptions {
  readonly address: EndpointAddress;
  readonly kind: "engine" | "plain";
  /** Models with their version; empty for plain services. */
  readonly models: Readonly<Record<string, string>>;
  readonly concurrency: number;
  readonly serviceMilliseconds: number;
  readonly timer: ManualTimer;
  readonly random: RandomSource;
  readonly log: ExecutionLog;
}

interface WaitingCall {
  readonly call: StageCall;
  readonly writer: RecordWriter;
  readonly channel: CallChannel;
}

const GRACE_MILLISECONDS = 1_000;
const REPORT_LAG_MILLISECONDS = 100;
const SPREAD = 0.2;

/** A model engine or a plain service in memory. */
export class WorldEndpoint {
  readonly options: WorldEndpointOptions;
  faults: EndpointFaults = NO_ENDPOINT_FAULTS;
  /** When it began to leave; undefined while it stays. */
  leavingSince: number | undefined;
  /** When each call arrived, whatever became of it. */
  readonly arrivals: number[] = [];
  /** Calls that are running or waiting. */
  readonly #waiting: WaitingCall[] = [];
  readonly #runs = new Map<string, EndpointRun>();
  #running = 0;
  #generation = 1;
  #sequence = 0;
  #accepted = 0;
  #isAlive = true;
  #calls = 0;
  #lastStranger: StageCall | undefined;
  #report: LoadReport;
  #reportedAt = Number.NEGATIVE_INFINITY;

  constructor(options: WorldEndpointOptions) {
    this.options = options;
    this.#report = this.#createReport();
  }

  get id(): string {
    return this.options.address.endpointId;
  }

  get isAlive(): boolean {
    return this.#isAlive;
  }

  /** True while a call waits or runs. */
  get isBusy(): boolean {
    return this.#running > 0 || this.#waiting.length > 0;
  }

  /** Takes in a call that arrived over `channel`. */
  receive(call: StageCall, channel: CallChannel): void {
    this.arrivals.push(this.options.timer.now());
    const stranger = this.#lastStranger;
    const writer = new RecordWriter({
      call,
      channel,
      faults: this.faults,
      stranger: () => stranger,
    });
    this.#lastStranger = call;
    if (call.resumeAttemptId !== undefined) {
      this.#resume(call, { channel, writer });
      return;
    }
    if (this.#refuses(writer)) return;
    this.#accepted++;
    this.#waiting.push({ call, writer, channel });
    this.#startNext();
  }

  /** Stops an attempt that is no longer wanted. */
  cancel(attemptId: string): void {
    const index = this.#waiting.findIndex(({ call }) =>
      call.attemptId === attemptId
    );
    if (index >= 0) this.#waiting.splice(index, 1);
    if (this.options.kind === "engine") this.#drop(attemptId);
  }

  /** Its load, some time ago. */
  report(): LoadReport {
    const now = this.options.timer.now();
    if (now - this.#reportedAt >= REPORT_LAG_MILLISECONDS) {
      this.#report = this.#createReport();
      this.#reportedAt = now;
    }
    return this.#report;
  }

  /** The process ends without a word. */
  die(): void {
    this.#isAlive = false;
    for (const run of this.#runs.values()) run.stop();
    for (const { channel } of this.#waiting) channel.break();
    this.#runs.clear();
    this.#waiting.length = 0;
    this.#running = 0;
  }

  /** A new process under the same address. */
  restart(): void {
    this.#isAlive = true;
    this.#generation++;
    this.#sequence = 0;
    this.#accepted = 0;
    this.leavingSince = undefined;
    this.faults = NO_ENDPOINT_FAULTS;
    this.#reportedAt = Number.NEGATIVE_INFINITY;
  }

  #refuses(writer: RecordWriter): boolean {
    if (this.faults.isOverloaded) {
      writer.failure(false, "overloaded");
      return true;
    }
    const isLeaving = this.leavingSince !== undefined;
    if (!isLeaving || this.faults.takesCallsWhileLeaving) return false;
    writer.failure(false, "leaving");
    return true;
  }

  #resume(
    call: StageCall,
    options: { readonly channel: CallChannel; readonly writer: RecordWriter },
  ): void {
    const earlier = call.resumeAttemptId ?? "";
    const run = this.#runs.get(earlier);
    if (run === undefined) {
      return options.writer.failure(false, "unknown_attempt");
    }
    this.#runs.delete(earlier);
    this.#runs.set(call.attemptId, run);
    this.#watch(call.attemptId, { run, channel: options.channel });
    run.resume(options.writer, call.resumeOffset ?? 0);
  }

  #startNext(): void {
    while (this.#running < this.options.concurrency) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      this.#start(next);
    }
  }

  #start({ call, writer, channel }: WaitingCall): void {
    const { timer, random, kind, log, address } = this.options;
    this.#running++;
    const output = answerCall(call, { kind, address });
    log.add({
      call,
      token: readToken(call.input) ?? "",
      endpointId: this.id,
      service: address.service,
      startedAt: timer.now(),
      output,
    });
    const around = 1 + SPREAD * (2 * random.next() - 1);
    const generation = this.#generation;
    const run = new EndpointRun({
      call,
      output,
      fate: fateOfCall(++this.#calls, this.faults),
      milliseconds: this.options.serviceMilliseconds * around *
        this.faults.slowFactor,
      splitsCharacters: this.faults.splitsCharacters,
      isStream: kind === "engine",
      timer,
      onEnd: () => {
        if (generation !== this.#generation || !this.#isAlive) return;
        this.#running--;
        timer.registerTimeout(
          () => this.#runs.delete(call.attemptId),
          GRACE_MILLISECONDS,
        );
        this.#startNext();
      },
    }, writer);
    this.#runs.set(call.attemptId, run);
    this.#watch(call.attemptId, { run, channel });
    run.start();
  }

  /** An engine gives a call up some time after its connection broke. */
  #watch(
    attemptId: string,
    options: { readonly run: EndpointRun; readonly channel: CallChannel },
  ): void {
    if (this.options.kind !== "engine") return;
    options.channel.onDisconnect(() => {
      this.options.timer.registerTimeout(() => {
        if (this.#runs.get(attemptId) === options.run) this.#drop(attemptId);
      }, GRACE_MILLISECONDS);
    });
  }

  #drop(attemptId: string): void {
    const run = this.#runs.get(attemptId);
    if (run === undefined || run.isOver) return;
    this.#runs.delete(attemptId);
    run.stop();
    this.#running--;
    this.#startNext();
  }

  #createReport(): LoadReport {
    const isLeaving = this.leavingSince !== undefined &&
      !this.faults.hidesLeaving;
    const { kind, concurrency, models } = this.options;
    return {
      incarnation: `${this.id}-process-${this.#generation}`,
      sequence: ++this.#sequence,
      state: isLeaving ? "leaving" : "ready",
      running: this.#running,
      waiting: this.#waiting.length,
      concurrency,
      accepted: this.#accepted,
      queuedTokens: 0,
      models,
      adapters: [],
      role: kind === "engine" ? "any" : "service",
    };
  }
}
