import type {
  EndpointRole,
  EngineOrder,
  LoadReport,
  StageCall,
  StageFailureReason,
  TimerService,
} from "kelpspar-shared";
import type { JsonRoute } from "../../http/json_route.ts";
import type { CallFaults } from "../call_faults.ts";
import type { EndpointCore } from "../endpoint_core.ts";
import type { EngineSettings } from "../endpoint_settings.ts";
import type { ExecutionLog } from "../execution_log.ts";
import type { FaultInjector } from "../fault_injector.ts";
import type { RecordWriter } from "../record_writer.ts";
import { readRequestedTokens } from "../input_tags.ts";
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

/** Settings and dependencies of an engine. */
export interface EngineOptions {
  readonly settings: EngineSettings;
  readonly incarnation: string;
  readonly timer: TimerService;
  readonly injector: FaultInjector;
  readonly log: ExecutionLog;
}

/** A model engine with batching, a prefix cache and resumable streams. */
export class Engine implements EndpointCore {
  readonly routes: readonly JsonRoute[];
  readonly cache: EngineCache;
  readonly orders: OrderLog;
  readonly #options: EngineOptions;
  readonly #batch: Batch;
  readonly #models: LoadedModels;
  readonly #loadPublisher: LoadPublisher;
  readonly #attempts: AttemptRegistry;
  #adapters: readonly string[];
  #role: EndpointRole;
  #accepted = 0;
  #isLeaving = false;
  #onLeft: (() => void)[] = [];

  constructor(options: EngineOptions) {
    const { settings, timer, injector } = options;
    this.#options = options;
    this.#adapters = settings.adapters;
    this.#role = settings.role;
    this.orders = new OrderLog(settings.checksFencing);
    this.cache = new EngineCache({ ...options, random: injector.random });
    this.#models = new LoadedModels({
      timer,
      models: settings.models,
      loadMilliseconds: () =>
        settings.loadModelMilliseconds * injector.faults.slowFactor,
    });
    this.#attempts = new AttemptRegistry({
      timer,
      graceMilliseconds: settings.graceMilliseconds,
      onExpired: (attempt) => this.#stop(attempt, "cancelled"),
      onRemoved: () => this.#finishLeaving(),
    });
    this.#batch = new Batch({
      timer,
      settings,
      slowFactor: () => injector.faults.slowFactor,
      onStarted: (attempt) => this.#start(attempt),
      onEnded: (attempt) => this.#end(attempt),
    });
    this.#loadPublisher = new LoadPublisher({
      timer,
      intervalMilliseconds: settings.reportEveryMilliseconds,
      lagMilliseconds: settings.reportLagMilliseconds,
      measure: () => this.#measure(),
    });
    this.routes = createEngineRoutes(this);
  }

  call(call: StageCall, writer: RecordWriter): () => void {
    if (call.resumeAttemptId !== undefined) return this.#resume(call, writer);
    const faults = this.#options.injector.drawCallFaults();
    const reason = this.#findRefusalReason(call, faults);
    if (reason !== undefined) return this.#refuse(call, { writer, reason });
    this.#accepted += 1;
    const attempt = this.#createAttempt(call, { writer, faults });
    this.#attempts.add(call.attemptId, attempt);
    this.#batch.add(attempt);
    return () => this.#disconnect(attempt, writer);
  }

  cancel(attemptId: string): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt !== undefined) this.#stop(attempt, "cancelled");
  }

  load(): LoadReport {
    return this.#loadPublisher.published;
  }

  /** Applies an order; false when its stale fencing number is refused. */
  order(order: EngineOrder): boolean {
    const { timer, settings } = this.#options;
    if (!this.orders.admit(order, timer.now())) return false;
    const { models, adapters, role } = order.desired;
    this.#models.setDesired(models);
    this.#adapters = adapters;
    this.#role = role;
    if (settings.unloadCutsRunning) this.#failUnloaded();
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
    this.#loadPublisher.close();
    this.#attempts.close();
  }

  #resume(call: StageCall, writer: RecordWriter): () => void {
    const attempt = this.#attempts.transferTo(call);
    if (attempt === undefined) {
      return this.#refuse(call, { writer, reason: "unknown_attempt" });
    }
    attempt.resume(call, writer);
    if (attempt.end !== undefined) this.#attempts.startGracePeriod(attempt);
    return () => this.#disconnect(attempt, writer);
  }

  #refuse(
    call: StageCall,
    refusal: {
      readonly writer: RecordWriter;
      readonly reason: StageFailureReason;
    },
  ): () => void {
    this.#options.log.recordRefusal();
    const { writer, reason } = refusal;
    writeFailure(writer, { call, started: false, reason });
    return () => {};
  }

  #findRefusalReason(
    call: StageCall,
    faults: CallFaults,
  ): StageFailureReason | undefined {
    if (this.#isLeaving) return "leaving";
    if (!this.#models.has(call.model ?? "")) return "wrong_model";
    if (!this.#hasAdapter(call.adapter)) return "wrong_model";
    if (faults.fails === "before") return "failed";
    return this.#batch.isFull ? "overloaded" : undefined;
  }

  #hasAdapter(adapter: string | undefined): boolean {
    return adapter === undefined || this.#adapters.includes(adapter);
  }

  #createAttempt(
    call: StageCall,
    options: { readonly writer: RecordWriter; readonly faults: CallFaults },
  ): Attempt {
    const { settings } = this.#options;
    const count = readRequestedTokens(call.input) ?? settings.defaultTokens;
    const tokens = engineTokens(call.model ?? "", call.input, count);
    return new Attempt(call, { tokens, ...options });
  }

  /** Called when the batch admits an attempt: looks up its prefix. */
  #start(attempt: Attempt): void {
    const { settings, log } = this.#options;
    log.start(attempt.call);
    if (!attempt.matchesPartialText) log.recordWrongPartialText();
    const cached = this.cache.reusePrefix(attempt.call);
    attempt.prefillMilliseconds = settings.prefillPerTokenMilliseconds *
      (attempt.tokensIn - cached);
  }

  #end(attempt: Attempt): void {
    const { log } = this.#options;
    log.recordRunnerTime(attempt.runnerMilliseconds);
    if (attempt.end === "complete") log.complete();
    this.#attempts.startGracePeriod(attempt);
  }

  /** Ends an attempt that has not ended yet. */
  #stop(attempt: Attempt, end: "failed" | "cancelled"): void {
    if (attempt.end !== undefined) return;
    this.#batch.remove(attempt);
    attempt.finish(end);
    this.#end(attempt);
  }

  #disconnect(attempt: Attempt, writer: RecordWriter): void {
    attempt.disconnect(writer);
    if (!attempt.isConnected) this.#attempts.startGracePeriod(attempt);
  }

  #failUnloaded(): void {
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
