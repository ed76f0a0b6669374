import type { RetryDecision } from "kelpspar-decisions/retries";
import type { KelpsparError, StageEndRecord } from "kelpspar-shared";
import type { Permit } from "../scheduling/permit.ts";
import type { PermitRequest } from "../scheduling/permit_request.ts";
import type { AttemptResult } from "./call_attempt.ts";
import type { AttemptPlan } from "./attempt_plan.ts";
import type { StageServices } from "./stage_services.ts";
import type { StageTask } from "./stage_task.ts";
import { decideRetry } from "kelpspar-decisions/retries";
import { KelpsparError as ResultError } from "kelpspar-shared";
import { settleAttempt } from "./call_attempt.ts";
import { HedgedCall } from "./hedged_call.ts";
import { StageProgress } from "./stage_progress.ts";

/** The complete result of a stage. */
export interface StageResult {
  readonly text: string;
  readonly end: StageEndRecord;
}

/**
 * Runs one stage of one request to its complete result: attempts, resumes,
 * continuations and retries. kelpspar-decisions decides between them.
 */
export class StageRun {
  readonly #services: StageServices;
  readonly #task: StageTask;
  readonly #isEngine: boolean;
  readonly #triedEndpointIds = new Set<string>();
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

  /** Throws KelpsparError when the stage cannot produce a complete result. */
  async execute(): Promise<StageResult> {
    // The claim is awaited first, so that the wait occupies no slot.
    await this.#task.guard.confirmed();
    let permit = await this.#acquire();
    let resumeAttemptId: string | undefined;
    for (;;) {
      this.#ensureDispatchAllowed(permit);
      const plan = this.#createPlan(permit, resumeAttemptId);
      const call = await this.#call(plan);
      if (call.result !== undefined) return call.result;
      const { attempt, error } = call;
      this.#recordFailure(error);
      this.#throwIfAborted(plan, attempt);
      const decision = this.#decideNextAction(error, attempt.mayResume);
      if (decision.action === "resume") {
        this.#resumes++;
        resumeAttemptId = attempt.attemptId;
        this.#progress.dropPiecesBeyondGap();
        continue;
      }
      this.#settle(plan, attempt);
      if (decision.action === "fail") throw this.#toFailure(decision, error);
      permit = await this.#acquireForRetry(permit);
      resumeAttemptId = undefined;
    }
  }

  /**
   * Neither the deadline nor a disconnected caller aborts a stage that must
   * run at most once: a late result still answers a look-up by key.
   */
  #attemptSignal(): AbortSignal {
    return this.#task.trace.once
      ? new AbortController().signal
      : this.#task.context.abort.signal;
  }

  #acquire(): Promise<Permit> {
    return this.#services.scheduler.acquire(this.#createPermitRequest());
  }

  #createPermitRequest(): PermitRequest {
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
      exclude: this.#triedEndpointIds,
      signal: context.abort.signal,
    };
  }

  /** Runs right before each call, with no `await` between this and the call. */
  #ensureDispatchAllowed(permit: Permit): void {
    const { guard, context } = this.#task;
    const { signal } = context.abort;
    if (!signal.aborted && guard.tryDispatch()) return;
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
      signal: this.#attemptSignal(),
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
      readonly attempt: AttemptResult;
      readonly error: KelpsparError;
    }
  > {
    const hedged = new HedgedCall(this.#services, this.#task, {
      plan,
      permitRequest: this.#createPermitRequest(),
    });
    const winner = await hedged.run();
    const { end, error } = winner.attempt;
    if (end === undefined || error !== undefined) {
      return {
        result: undefined,
        attempt: winner.attempt,
        error: error ??
          new ResultError(
            "endpoint_failed",
            "No end record",
          ),
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

  #recordFailure(error: KelpsparError): void {
    if (error.outcome === "not_run") this.#task.guard.recordNotStarted();
    else this.#mayHaveRun = true;
  }

  #decideNextAction(error: KelpsparError, mayResume: boolean): RetryDecision {
    const { context, service, stage, trace } = this.#task;
    const { parts, timer, scheduler } = this.#services;
    const now = timer.now();
    const isFirst = trace.dispatches.length <= 1;
    const received = this.#isEngine ? this.#progress.length : 0;
    const key = { accountId: context.account.id, serviceId: service.id };
    const times = parts.stageTimes.remainingTimes(
      context.pipeline.id,
      this.#createPermitRequest().stageIds,
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
        exclude: new Set([...this.#triedEndpointIds, trace.endpointId ?? ""]),
      }).otherEndpoints,
      canResume: this.#isEngine && mayResume,
      canContinue: this.#isEngine,
      outcomeBefore: "not_run",
    });
  }

  /** An aborted request releases its permit and cancels the endpoint's work. */
  #throwIfAborted(plan: AttemptPlan, attempt: AttemptResult): void {
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

  #settle(plan: AttemptPlan, attempt: AttemptResult): void {
    settleAttempt(this.#services, this.#task, {
      plan,
      attempt,
      isCancelled: false,
    });
  }

  async #acquireForRetry(permit: Permit): Promise<Permit> {
    const { parts, timer, observer } = this.#services;
    this.#triedEndpointIds.add(permit.endpoint.endpointId);
    this.#resumes = 0;
    this.#progress.dropPiecesBeyondGap();
    parts.retries.trySpend({
      accountId: this.#task.context.account.id,
      serviceId: this.#task.service.id,
    }, timer.now());
    observer.onRetry(this.#task);
    return await this.#acquire();
  }

  #toFailure(
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
