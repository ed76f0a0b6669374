import type { RetryDecision } from "kelpspar-decisions/retries";
import type { KelpsparError, StageEndRecord } from "kelpspar-shared";
import type { Permit } from "../scheduling/permit.ts";
import type { PermitRequest } from "../scheduling/permit_request.ts";
import type { AttemptEnd } from "./call_attempt.ts";
import type { AttemptPlan } from "./attempt_plan.ts";
import type { StageServices } from "./stage_services.ts";
import type { StageTask } from "./stage_task.ts";
import { decideRetry } from "kelpspar-decisions/retries";
import { KelpsparError as ResultError } from "kelpspar-shared";
import { settleAttempt } from "./call_attempt.ts";
import { HedgedCall } from "./hedged_call.ts";
import { StageProgress } from "./stage_progress.ts";

/** A whole result of a stage. */
export interface StageResult {
  readonly text: string;
  readonly end: StageEndRecord;
}

/**
 * One stage of one request on its way to a whole result: attempts, resumes,
 * continuations and retries, as kelpspar-decisions says.
 */
export class StageRun {
  readonly #services: StageServices;
  readonly #task: StageTask;
  readonly #isEngine: boolean;
  readonly #tried = new Set<string>();
  #progress: StageProgress;
  #attempts = 0;
  #resumes = 0;
  #mayHaveRun = false;

  constructor(services: StageServices, task: StageTask) {
    this.#services = services;
    this.#task = task;
    this.#isEngine = task.service.kind === "engine";
    this.#progress = this.#createProgress();
  }

  /** Throws KelpsparError when the stage cannot be brought to its result. */
  async execute(): Promise<StageResult> {
    // A call that waits for its claim must not hold a slot meanwhile.
    await this.#task.guard.confirmed();
    let permit = await this.#acquire();
    let resumeAttemptId: string | undefined;
    for (;;) {
      this.#allowDispatch(permit);
      const plan = this.#createPlan(permit, resumeAttemptId);
      const call = await this.#call(plan);
      if (call.result !== undefined) return call.result;
      const { attempt, error } = call;
      this.#noteFailure(error);
      this.#throwIfAborted(plan, attempt);
      const decision = this.#decide(error, attempt.mayResume);
      if (decision.action === "resume") {
        this.#resumes++;
        resumeAttemptId = attempt.attemptId;
        this.#progress.dropGap();
        continue;
      }
      this.#settle(plan, attempt);
      if (decision.action === "fail") throw this.#failure(decision, error);
      permit = await this.#moveElsewhere(permit);
      resumeAttemptId = undefined;
    }
  }

  /**
   * Once-stages are not cut by the request's deadline or by its caller's
   * going: a result that comes late still answers the caller's look-up.
   */
  #signal(): AbortSignal {
    return this.#task.trace.once
      ? new AbortController().signal
      : this.#task.context.abort.signal;
  }

  #acquire(): Promise<Permit> {
    return this.#services.scheduler.acquire(this.#permitRequest());
  }

  #permitRequest(): PermitRequest {
    const { context, stage, stageIndex, prefixHash } = this.#task;
    return {
      service: stage.service,
      model: stage.model,
      adapter: stage.adapter,
      accountId: context.account.id,
      pipelineId: context.pipeline.id,
      stageId: stage.id,
      stageIds: context.pipeline.stages.slice(stageIndex).map(({ id }) => id),
      priority: context.priority,
      deadlineAt: context.deadlineAt,
      bytes: this.#task.input.length,
      prefixHash,
      exclude: this.#tried,
      signal: context.abort.signal,
    };
  }

  /** Asked right before each call; nothing may come between. */
  #allowDispatch(permit: Permit): void {
    const { guard, context } = this.#task;
    const { signal } = context.abort;
    if (!signal.aborted && guard.dispatch()) return;
    permit.release({ outcome: "cancelled", latencyMilliseconds: 0 });
    signal.throwIfAborted();
    throw new ResultError(
      "store_unavailable",
      `Stage "${this.#task.stage.id}" may not run: its claim was given up`,
    );
  }

  #createPlan(
    permit: Permit,
    resumeAttemptId: string | undefined,
  ): AttemptPlan {
    if (!this.#isEngine) this.#progress = this.#createProgress();
    this.#attempts++;
    return {
      permit,
      progress: this.#progress,
      signal: this.#signal(),
      ...(resumeAttemptId === undefined ? {} : { resumeAttemptId }),
    };
  }

  #createProgress(): StageProgress {
    const { onText } = this.#task;
    return new StageProgress(this.#isEngine ? { onText } : {});
  }

  async #call(plan: AttemptPlan): Promise<
    | { readonly result: StageResult }
    | {
      readonly result: undefined;
      readonly attempt: AttemptEnd;
      readonly error: KelpsparError;
    }
  > {
    const hedged = new HedgedCall(this.#services, this.#task, {
      plan,
      permitRequest: this.#permitRequest(),
    });
    const winner = await hedged.run();
    const { end, error } = winner.attempt;
    if (end === undefined || error !== undefined) {
      return {
        result: undefined,
        attempt: winner.attempt,
        error: error ?? new ResultError("endpoint_failed", "No end record"),
      };
    }
    settleAttempt(this.#services, this.#task, {
      plan: winner.plan,
      attempt: winner.attempt,
      isCancelled: false,
    });
    const text = winner.plan.progress.text;
    if (!this.#isEngine) this.#task.onText(text);
    return { result: { text, end } };
  }

  #noteFailure(error: KelpsparError): void {
    if (error.outcome === "not_run") this.#task.guard.notStarted();
    else this.#mayHaveRun = true;
  }

  #decide(error: KelpsparError, mayResume: boolean): RetryDecision {
    const { context, service, stage, trace } = this.#task;
    const { parts, timer, scheduler } = this.#services;
    const now = timer.now();
    const isFirst = trace.dispatches.length <= 1;
    const received = this.#isEngine ? this.#progress.length : 0;
    const key = { accountId: context.account.id, serviceId: service.id };
    const times = parts.stageTimes.remainingTimes(
      context.pipeline.id,
      this.#permitRequest().stageIds,
      now,
    );
    return decideRetry({
      result: error.result,
      ...(error.outcome === "not_run" && error.result !== "endpoint_refused"
        ? { started: false }
        : {}),
      effect: trace.once ? "once" : "none",
      earlierAttemptMayHaveRun: !isFirst && this.#mayHaveRun,
      receivedLength: received,
      deliveredLength: this.#isLastStage(stage.id) ? received : 0,
      remainingMilliseconds: context.deadlineAt - now,
      minimumMilliseconds: times.minimum,
      attempts: this.#attempts,
      resumes: this.#resumes,
      budgetAllows: parts.retries.allows(key, now),
      otherEndpoints: scheduler.loadOf({
        service: service.id,
        model: stage.model,
        exclude: new Set([...this.#tried, trace.endpointId ?? ""]),
      }).otherEndpoints,
      canResume: this.#isEngine && mayResume,
      canContinue: this.#isEngine,
      outcomeBefore: "not_run",
    });
  }

  /** A request that was given up lets go of its endpoint, and says so there. */
  #throwIfAborted(plan: AttemptPlan, attempt: AttemptEnd): void {
    const { signal } = this.#task.context.abort;
    if (!signal.aborted) return;
    settleAttempt(this.#services, this.#task, {
      plan,
      attempt,
      isCancelled: !this.#task.trace.once,
    });
    throw signal.reason;
  }

  #isLastStage(stageId: string): boolean {
    return this.#task.context.pipeline.stages.at(-1)?.id === stageId;
  }

  #settle(plan: AttemptPlan, attempt: AttemptEnd): void {
    settleAttempt(this.#services, this.#task, {
      plan,
      attempt,
      isCancelled: false,
    });
  }

  async #moveElsewhere(permit: Permit): Promise<Permit> {
    const { parts, timer, observer } = this.#services;
    this.#tried.add(permit.endpoint.endpointId);
    this.#resumes = 0;
    this.#progress.dropGap();
    parts.retries.trySpend({
      accountId: this.#task.context.account.id,
      serviceId: this.#task.service.id,
    }, timer.now());
    observer.onRetry(this.#task);
    return await this.#acquire();
  }

  #failure(
    decision: Extract<RetryDecision, { readonly action: "fail" }>,
    cause: KelpsparError,
  ): KelpsparError {
    return new ResultError(
      decision.result,
      `Stage "${this.#task.stage.id}" failed: ${cause.message}`,
      {
        cause,
        outcome: decision.outcome,
        ...(cause.retryAfterMilliseconds === undefined
          ? {}
          : { retryAfterMilliseconds: cause.retryAfterMilliseconds }),
      },
    );
  }
}
