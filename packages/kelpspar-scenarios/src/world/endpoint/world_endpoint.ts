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
import { chooseCallOutcome } from "./choose_call_outcome.ts";
import { EndpointRun } from "./endpoint_run.ts";
import { RecordWriter } from "./record_writer.ts";

/** Parameters of a `WorldEndpoint`. */
export interface WorldEndpointOptions {
  readonly address: EndpointAddress;
  readonly kind: "engine" | "plain";
  /** Versions by model; empty for plain services. */
  readonly models: Readonly<Record<string, string>>;
  readonly concurrency: number;
  readonly serviceMilliseconds: number;
  readonly timer: ManualTimer;
  readonly random: RandomSource;
  readonly log: ExecutionLog;
}

interface QueuedCall {
  readonly call: StageCall;
  readonly writer: RecordWriter;
  readonly channel: CallChannel;
}

const RESUME_GRACE_MILLISECONDS = 1_000;
const REPORT_LAG_MILLISECONDS = 100;
const SERVICE_TIME_SPREAD = 0.2;

/** A simulated endpoint of a model engine or a plain service. */
export class WorldEndpoint {
  readonly options: WorldEndpointOptions;
  faults: EndpointFaults = NO_ENDPOINT_FAULTS;
  /** When it started to leave, monotonic milliseconds; undefined otherwise. */
  leavingSince: number | undefined;
  /** Arrival times of all calls, including rejected ones. */
  readonly arrivalTimes: number[] = [];
  /** Calls that wait for a slot. */
  readonly #queue: QueuedCall[] = [];
  readonly #runs = new Map<string, EndpointRun>();
  #running = 0;
  #generation = 1;
  #sequence = 0;
  #accepted = 0;
  #isAlive = true;
  #startedCalls = 0;
  #previousCall: StageCall | undefined;
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

  /** True while a call is queued or running. */
  get isBusy(): boolean {
    return this.#running > 0 || this.#queue.length > 0;
  }

  /** Accepts, resumes or rejects a call that arrived over `channel`. */
  receive(call: StageCall, channel: CallChannel): void {
    this.arrivalTimes.push(this.options.timer.now());
    const otherCall = this.#previousCall;
    const writer = new RecordWriter({
      call,
      channel,
      faults: this.faults,
      otherCall: () => otherCall,
    });
    this.#previousCall = call;
    if (call.resumeAttemptId !== undefined) {
      this.#resume(call, { channel, writer });
      return;
    }
    if (this.#rejectIfUnavailable(writer)) return;
    this.#accepted++;
    this.#queue.push({ call, writer, channel });
    this.#startNext();
  }

  /** Cancels an attempt; plain services only cancel queued ones. */
  cancel(attemptId: string): void {
    const index = this.#queue.findIndex(({ call }) =>
      call.attemptId === attemptId
    );
    if (index >= 0) this.#queue.splice(index, 1);
    if (this.options.kind === "engine") this.#stopRun(attemptId);
  }

  /** The load report, refreshed at most every `REPORT_LAG_MILLISECONDS`. */
  report(): LoadReport {
    const now = this.options.timer.now();
    if (now - this.#reportedAt >= REPORT_LAG_MILLISECONDS) {
      this.#report = this.#createReport();
      this.#reportedAt = now;
    }
    return this.#report;
  }

  /** Kills the process; its connections break. */
  die(): void {
    this.#isAlive = false;
    for (const run of this.#runs.values()) run.stop();
    for (const { channel } of this.#queue) channel.break();
    this.#runs.clear();
    this.#queue.length = 0;
    this.#running = 0;
  }

  /** Starts a new process under the same address. */
  restart(): void {
    this.#isAlive = true;
    this.#generation++;
    this.#sequence = 0;
    this.#accepted = 0;
    this.leavingSince = undefined;
    this.faults = NO_ENDPOINT_FAULTS;
    this.#reportedAt = Number.NEGATIVE_INFINITY;
  }

  #rejectIfUnavailable(writer: RecordWriter): boolean {
    if (this.faults.isOverloaded) {
      writer.failure(false, "overloaded");
      return true;
    }
    const isLeaving = this.leavingSince !== undefined;
    if (!isLeaving || this.faults.acceptsCallsWhileLeaving) return false;
    writer.failure(false, "leaving");
    return true;
  }

  #resume(
    call: StageCall,
    options: { readonly channel: CallChannel; readonly writer: RecordWriter },
  ): void {
    const earlierAttemptId = call.resumeAttemptId ?? "";
    const run = this.#runs.get(earlierAttemptId);
    if (run === undefined) {
      return options.writer.failure(false, "unknown_attempt");
    }
    this.#runs.delete(earlierAttemptId);
    this.#runs.set(call.attemptId, run);
    this.#stopRunOnDisconnect(call.attemptId, {
      run,
      channel: options.channel,
    });
    run.resume(options.writer, call.resumeOffset ?? 0);
  }

  #startNext(): void {
    while (this.#running < this.options.concurrency) {
      const next = this.#queue.shift();
      if (next === undefined) return;
      this.#start(next);
    }
  }

  #start({ call, writer, channel }: QueuedCall): void {
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
    const durationFactor = 1 + SERVICE_TIME_SPREAD * (2 * random.next() - 1);
    const generation = this.#generation;
    const run = new EndpointRun({
      call,
      output,
      outcome: chooseCallOutcome(++this.#startedCalls, this.faults),
      milliseconds: this.options.serviceMilliseconds * durationFactor *
        this.faults.slowFactor,
      splitsCharacters: this.faults.splitsCharacters,
      isStreaming: kind === "engine",
      timer,
      onEnd: () => {
        if (generation !== this.#generation || !this.#isAlive) return;
        this.#running--;
        timer.registerTimeout(
          () => this.#runs.delete(call.attemptId),
          RESUME_GRACE_MILLISECONDS,
        );
        this.#startNext();
      },
    }, writer);
    this.#runs.set(call.attemptId, run);
    this.#stopRunOnDisconnect(call.attemptId, { run, channel });
    run.start();
  }

  /** Makes an engine stop a run a grace period after its connection broke. */
  #stopRunOnDisconnect(
    attemptId: string,
    options: { readonly run: EndpointRun; readonly channel: CallChannel },
  ): void {
    if (this.options.kind !== "engine") return;
    options.channel.setDisconnectListener(() => {
      this.options.timer.registerTimeout(() => {
        if (this.#runs.get(attemptId) === options.run) this.#stopRun(attemptId);
      }, RESUME_GRACE_MILLISECONDS);
    });
  }

  #stopRun(attemptId: string): void {
    const run = this.#runs.get(attemptId);
    if (run === undefined || run.isFinished) return;
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
      waiting: this.#queue.length,
      concurrency,
      accepted: this.#accepted,
      queuedTokens: 0,
      models,
      adapters: [],
      role: kind === "engine" ? "any" : "service",
    };
  }
}
