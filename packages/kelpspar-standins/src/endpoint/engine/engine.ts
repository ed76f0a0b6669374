import type {
  EndpointRole,
  EngineOrder,
  LoadReport,
  StageCall,
  StageFailureReason,
  TimerService,
} from "kelpspar-shared";
import type { JsonRoute } from "../../http/json_route.ts";
import type { CallFate } from "../call_faults.ts";
import type { EndpointCore } from "../endpoint_core.ts";
import type { EngineSettings } from "../endpoint_settings.ts";
import type { ExecutionLog } from "../execution_log.ts";
import type { FaultScript } from "../fault_injector.ts";
import type { RecordWriter } from "../record_writer.ts";
import { readTokensWanted } from "../input_tags.ts";
import { writeFailure } from "../write_failure.ts";
import { Attempt } from "./attempt.ts";
import { AttemptRegistry } from "./attempt_registry.ts";
import { Batch } from "./batch.ts";
import { engineTokens } from "./engine_answer.ts";
import { EngineCache } from "./engine_cache.ts";
import { createEngineRoutes } from "./engine_routes.ts";
import { LoadPublisher } from "./load_publisher.ts";
import { LoadedModels } from "./loaded_models.ts";
import { OrderLog } from "./order_log.ts";

/** What an engine is made of. */
export interface EngineOptions {
  readonly settings: EngineSettings;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly script: FaultScript;
  readonly log: ExecutionLog;
}

/** A model engine: batching, prefix cache, streams that can be resumed. */
export class Engine implements EndpointCore {
  readonly routes: readonly JsonRoute[];
  readonly cache: EngineCache;
  readonly orders: OrderLog;
  readonly #options: EngineOptions;
  readonly #batch: Batch;
  readonly #models: LoadedModels;
  readonly #publisher: LoadPublisher;
  readonly #attempts: AttemptRegistry;
  #adapters: readonly string[];
  #role: EndpointRole;
  #accepted = 0;
  #isLeaving = false;
  #onLeft: (() => void)[] = [];

  constructor(options: EngineOptions) {
    const { settings, timer, script } = options;
    this.#options = options;
    this.#adapters = settings.adapters;
    this.#role = settings.role;
    this.orders = new OrderLog(settings.checksFencing);
    this.cache = new EngineCache({ ...options, random: script.random });
    this.#models = new LoadedModels({
      timer,
      models: settings.models,
      loadMilliseconds: () =>
        settings.loadModelMilliseconds * script.faults.slowFactor,
    });
    this.#attempts = new AttemptRegistry({
      timer,
      graceMilliseconds: settings.graceMilliseconds,
      onExpired: (attempt) => this.#stop(attempt, "cancelled"),
      onForgotten: () => this.#finishLeaving(),
    });
    this.#batch = new Batch({
      timer,
      settings,
      slowFactor: () => script.faults.slowFactor,
      onStarted: (attempt) => this.#start(attempt),
      onEnded: (attempt) => this.#end(attempt),
    });
    this.#publisher = new LoadPublisher({
      timer,
      everyMilliseconds: settings.reportEveryMilliseconds,
      lagMilliseconds: settings.reportLagMilliseconds,
      measure: () => this.#measure(),
    });
    this.routes = createEngineRoutes(this);
  }

  call(call: StageCall, writer: RecordWriter): () => void {
    if (call.resumeAttemptId !== undefined) return this.#resume(call, writer);
    const fate = this.#options.script.drawFate();
    const reason = this.#whyNot(call, fate);
    if (reason !== undefined) return this.#refuse(call, { writer, reason });
    this.#accepted += 1;
    const attempt = this.#createAttempt(call, { writer, fate });
    this.#attempts.add(call.attemptId, attempt);
    this.#batch.add(attempt);
    return () => this.#disconnect(attempt, writer);
  }

  cancel(attemptId: string): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt !== undefined) this.#stop(attempt, "cancelled");
  }

  load(): LoadReport {
    return this.#publisher.shown;
  }

  /** False when the order carries an old fencing number and that matters. */
  order(order: EngineOrder): boolean {
    const { timer, settings } = this.#options;
    if (!this.orders.admit(order, timer.now())) return false;
    const { models, adapters, role } = order.desired;
    this.#models.want(models);
    this.#adapters = adapters;
    this.#role = role;
    if (settings.unloadCutsRunning) this.#cutUnloaded();
    return true;
  }

  leave(): Promise<void> {
    this.#isLeaving = true;
    return new Promise((resolve) => {
      this.#onLeft.push(resolve);
      this.#finishLeaving();
    });
  }

  close(): void {
    this.#batch.close();
    this.#models.close();
    this.#publisher.close();
    this.#attempts.close();
  }

  #resume(call: StageCall, writer: RecordWriter): () => void {
    const attempt = this.#attempts.rename(call);
    if (attempt === undefined) {
      return this.#refuse(call, { writer, reason: "unknown_attempt" });
    }
    attempt.resume(call, writer);
    if (attempt.end !== undefined) this.#attempts.startGrace(attempt);
    return () => this.#disconnect(attempt, writer);
  }

  #refuse(
    call: StageCall,
    refusal: {
      readonly writer: RecordWriter;
      readonly reason: StageFailureReason;
    },
  ): () => void {
    this.#options.log.refuse();
    const { writer, reason } = refusal;
    writeFailure(writer, { call, started: false, reason });
    return () => {};
  }

  #whyNot(call: StageCall, fate: CallFate): StageFailureReason | undefined {
    if (this.#isLeaving) return "leaving";
    if (!this.#models.has(call.model ?? "")) return "wrong_model";
    if (!this.#hasAdapter(call.adapter)) return "wrong_model";
    if (fate.fails === "before") return "failed";
    return this.#batch.isFull ? "overloaded" : undefined;
  }

  #hasAdapter(adapter: string | undefined): boolean {
    return adapter === undefined || this.#adapters.includes(adapter);
  }

  #createAttempt(
    call: StageCall,
    options: { readonly writer: RecordWriter; readonly fate: CallFate },
  ): Attempt {
    const { settings } = this.#options;
    const count = readTokensWanted(call.input) ?? settings.defaultTokens;
    const tokens = engineTokens(call.model ?? "", call.input, count);
    return new Attempt(call, { tokens, ...options });
  }

  /** Runs as an attempt enters the batch: looks its prefix up. */
  #start(attempt: Attempt): void {
    const { settings, log } = this.#options;
    log.start(attempt.call);
    if (!attempt.fitsPartialText) log.countWrongPartialText();
    const cached = this.cache.useFor(attempt.call);
    attempt.prefillMilliseconds = settings.prefillPerTokenMilliseconds *
      (attempt.tokensIn - cached);
  }

  #end(attempt: Attempt): void {
    const { log } = this.#options;
    log.spend(attempt.runnerMilliseconds);
    if (attempt.end === "complete") log.complete();
    this.#attempts.startGrace(attempt);
  }

  /** Ends an attempt from outside, unless it has ended. */
  #stop(attempt: Attempt, end: "failed" | "cancelled"): void {
    if (attempt.end !== undefined) return;
    this.#batch.remove(attempt);
    attempt.finish(end);
    this.#end(attempt);
  }

  #disconnect(attempt: Attempt, writer: RecordWriter): void {
    attempt.disconnect(writer);
    if (!attempt.isConnected) this.#attempts.startGrace(attempt);
  }

  #cutUnloaded(): void {
    for (const attempt of this.#attempts.attempts) {
      if (this.#models.has(attempt.call.model ?? "")) continue;
      this.#stop(attempt, "failed");
    }
  }

  #finishLeaving(): void {
    if (!this.#isLeaving || !this.#attempts.isEmpty) return;
    if (!this.#batch.isEmpty) return;
    for (const resolve of this.#onLeft) resolve();
    this.#onLeft = [];
  }

  #measure(): Omit<LoadReport, "sequence"> {
    const models = this.#models.ready;
    const isEmpty = Object.keys(models).length === 0;
    const state = isEmpty && this.#models.isLoading ? "loading" : "ready";
    return {
      incarnation: this.#options.incarnation,
      state: this.#isLeaving ? "leaving" : state,
      running: this.#batch.running.length,
      waiting: this.#batch.waiting.length,
      concurrency: this.#options.settings.maximumBatch,
      accepted: this.#accepted,
      queuedTokens: this.#batch.queuedTokens,
      models,
      adapters: this.#adapters,
      role: this.#role,
    };
  }
}
