import type { EndpointClient } from "kelpspar-platform";
import type {
  RandomSource,
  StageCall,
  StageEndRecord,
  StageRecord,
  TimerService,
} from "kelpspar-shared";
import type { Permit } from "../scheduling/permit.ts";
import type { Scheduler } from "../scheduling/scheduler.ts";
import type { StageRunner } from "./stage_runner.ts";
import type { StageTask } from "./stage_task.ts";
import { sha256, toKelpsparError } from "kelpspar-shared";
import { runStageAttempt } from "./stage_attempt.ts";
import { StageProgress } from "./stage_progress.ts";

/** What stages run on. */
export interface RetryingStageRunnerOptions {
  readonly endpoints: EndpointClient;
  readonly scheduler: Scheduler;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly onForeignRecord: (record: StageRecord) => void;
}

/** Runs a stage on the endpoints that the scheduler gives. */
export class RetryingStageRunner implements StageRunner {
  readonly #options: RetryingStageRunnerOptions;

  constructor(options: RetryingStageRunnerOptions) {
    this.#options = options;
  }

  async run(task: StageTask): Promise<string> {
    const progress = new StageProgress({
      streams: task.service.kind === "engine",
      onText: task.onText,
    });
    const permit = await this.#acquire(task);
    await task.beforeDispatch();
    const end = await this.#attempt(task, { permit, progress });
    progress.complete();
    task.trace.outcome = "completed";
    task.trace.tokensIn += end.tokensIn;
    task.trace.tokensOut += end.tokensOut;
    return progress.text;
  }

  #acquire(task: StageTask): Promise<Permit> {
    const { context, stage } = task;
    return this.#options.scheduler.acquire({
      service: stage.service,
      model: stage.model,
      adapter: stage.adapter,
      accountId: context.account.id,
      pipelineId: context.pipeline.id,
      stageId: stage.id,
      priority: context.priority,
      deadlineAt: context.deadlineAt,
      bytes: task.input.length,
      prefixHash: prefixHashOf(task),
      exclude: new Set(),
      signal: context.abort.signal,
    });
  }

  async #attempt(
    task: StageTask,
    run: { readonly permit: Permit; readonly progress: StageProgress },
  ): Promise<StageEndRecord> {
    const { timer } = this.#options;
    const { trace } = task;
    const startedAt = timer.now();
    trace.attempts++;
    trace.endpointId = run.permit.endpoint.endpointId;
    try {
      const end = await runStageAttempt({
        endpoints: this.#options.endpoints,
        endpoint: run.permit.endpoint,
        call: this.#createCall(task),
        once: trace.once,
        progress: run.progress,
        timer,
        progressTimeoutMilliseconds: task.service.progressTimeoutMilliseconds,
        signal: task.context.abort.signal,
        onForeignRecord: this.#options.onForeignRecord,
      });
      trace.dispatches.push("may_have_run");
      trace.runnerMilliseconds += end.runnerMilliseconds;
      run.permit.release({ outcome: "success", cost: end.runnerMilliseconds });
      return end;
    } catch (thrown) {
      const error = toKelpsparError(thrown);
      run.permit.release({
        outcome: "failed",
        cost: timer.now() - startedAt,
      });
      throw error;
    }
  }

  #createCall(task: StageTask): StageCall {
    const { context, stage } = task;
    return {
      requestId: context.requestId,
      stageId: stage.id,
      attemptId: this.#options.random.nextHexadecimal(8),
      accountId: context.account.id,
      priority: context.priority,
      remainingMilliseconds: context.deadlineAt - this.#options.timer.now(),
      input: task.input,
      ...(stage.model === undefined ? {} : { model: stage.model }),
      ...(stage.adapter === undefined ? {} : { adapter: stage.adapter }),
    };
  }
}

function prefixHashOf(task: StageTask): string | undefined {
  const characters = task.stage.sharedPrefixCharacters;
  if (characters === 0) return undefined;
  return sha256(task.input.slice(0, characters)).slice(0, 16);
}
