import type { CallOutcome } from "kelpspar-decisions/routing";
import type {
  KelpsparError,
  ResultName,
  StageCall,
  StageEndRecord,
} from "kelpspar-shared";
import type { AttemptPlan } from "./attempt_plan.ts";
import type { StageServices } from "./stage_services.ts";
import type { StageTask } from "./stage_task.ts";
import { toKelpsparError } from "kelpspar-shared";
import { ConnectionMonitor } from "kelpspar-decisions/routing";
import { proofOf } from "./call_proof.ts";
import { probeSilence } from "./probe_silence.ts";
import { runStageAttempt } from "./stage_attempt.ts";

const OUTCOME_BY_RESULT: Readonly<Partial<Record<ResultName, CallOutcome>>> = {
  endpoint_refused: "refused",
  endpoint_silent: "silent",
  endpoint_overloaded: "overloaded",
  endpoint_leaving: "leaving",
  endpoint_failed: "failed",
};

/** Result of one call. */
export interface AttemptResult {
  readonly attemptId: string;
  readonly end?: StageEndRecord;
  readonly error?: KelpsparError;
  /** Time to the first record, milliseconds; absent without a record. */
  readonly firstRecordMilliseconds?: number;
  readonly milliseconds: number;
  /** False when a probe decided against resuming at the endpoint. */
  readonly mayResume: boolean;
}

/**
 * Makes one call and records what it proves. The proof is `unproved` before the
 * first byte can be sent, and is replaced only on the endpoint's own failure
 * record or a refused connection, so that a request that fails in between is
 * never reported as `not_run`.
 */
export async function callAttempt(
  services: StageServices,
  task: StageTask,
  options: {
    readonly plan: AttemptPlan;
    /** Aborting it cancels this attempt alone. */
    readonly abort: AbortController;
  },
): Promise<AttemptResult> {
  const { plan, abort } = options;
  const { timer } = services;
  const { trace } = task;
  const call = createCall(services, task, plan);
  const { attemptId } = call;
  const startedAt = timer.now();
  const proof = trace.dispatches.push("unproved") - 1;
  trace.attempts++;
  trace.callStartedAt ??= startedAt;
  trace.endpointId = plan.permit.endpoint.endpointId;
  let firstRecordAt: number | undefined;
  let lastRecordAt: number | undefined;
  let mayResume = true;
  const connectionMonitor = new ConnectionMonitor({
    effect: trace.once ? "once" : "none",
    isResumable: task.service.kind === "engine",
    progressTimeoutMilliseconds: task.service.progressTimeoutMilliseconds,
    startedAt,
  });
  const describe = (): Omit<AttemptResult, "end" | "error"> => ({
    attemptId,
    mayResume,
    milliseconds: timer.now() - startedAt,
    ...(firstRecordAt === undefined
      ? {}
      : { firstRecordMilliseconds: firstRecordAt - startedAt }),
  });
  try {
    const end = await runStageAttempt({
      endpoints: services.endpoints,
      endpoint: plan.permit.endpoint,
      call,
      isStream: task.service.kind === "engine",
      newConnection: trace.once || plan.resumeAttemptId !== undefined,
      progress: plan.progress,
      timer,
      connectionMonitor,
      p99GapMilliseconds: () =>
        services.recordGaps.p99(task.service.id, timer.now()),
      evaluateSilence: () =>
        probeSilence(services, {
          connectionMonitor,
          endpoint: plan.permit.endpoint,
        }),
      onSilent: (verdict) => {
        mayResume = verdict?.call === "resume_here";
      },
      signal: plan.signal,
      abort,
      onForeignRecord: services.onForeignRecord,
      onRecord: () => {
        const now = timer.now();
        firstRecordAt ??= now;
        if (lastRecordAt !== undefined) {
          const milliseconds = now - lastRecordAt;
          services.recordGaps.observe(task.service.id, { milliseconds, now });
        }
        lastRecordAt = now;
        plan.permit.progress();
      },
    });
    return { ...describe(), end };
  } catch (thrown) {
    const error = toKelpsparError(thrown, "endpoint_failed");
    trace.dispatches[proof] = proofOf(error);
    return { ...describe(), error };
  }
}

/** Releases an attempt's permit and records its outcome, latency and cost. */
export function settleAttempt(
  services: StageServices,
  task: StageTask,
  settled: {
    readonly plan: AttemptPlan;
    readonly attempt: AttemptResult;
    /** True when the result was no longer needed. */
    readonly isCancelled: boolean;
  },
): void {
  const { plan, attempt } = settled;
  const { end } = attempt;
  const outcome = callOutcomeOf(settled);
  const isStream = task.service.kind === "engine";
  const latency = isStream
    ? attempt.firstRecordMilliseconds ?? attempt.milliseconds
    : attempt.milliseconds;
  const cost = plan.permit.release({
    outcome,
    latencyMilliseconds: latency,
    ...(end === undefined
      ? {}
      : { runnerMilliseconds: end.runnerMilliseconds }),
  });
  task.trace.runnerMilliseconds += cost;
  services.observer.onAttempt(task, { outcome, runnerMilliseconds: cost });
  if (end === undefined) {
    cancelAtEndpoint(services, settled);
    return;
  }
  task.trace.tokensIn += end.tokensIn;
  task.trace.tokensOut += end.tokensOut;
  services.parts.costs.observe({
    serviceId: task.service.id,
    accountId: task.context.account.id,
    pipelineId: task.context.pipeline.id,
    stageId: task.stage.id,
  }, {
    runnerMilliseconds: end.runnerMilliseconds,
    tokensIn: end.tokensIn,
    tokensOut: end.tokensOut,
  });
}

/**
 * An engine continues an attempt for a while after its connection broke.
 * Cancelling an attempt that is no longer needed saves runner time.
 */
function cancelAtEndpoint(
  services: StageServices,
  settled: {
    readonly plan: AttemptPlan;
    readonly attempt: AttemptResult;
    readonly isCancelled: boolean;
  },
): void {
  const { plan, attempt, isCancelled } = settled;
  const isSilent = attempt.error?.result === "endpoint_silent";
  if (!isCancelled && !isSilent) return;
  services.endpoints.cancel(plan.permit.endpoint, attempt.attemptId).catch(
    () => {},
  );
}

function callOutcomeOf(settled: {
  readonly attempt: AttemptResult;
  readonly isCancelled: boolean;
}): CallOutcome {
  if (settled.isCancelled) return "cancelled";
  const { error } = settled.attempt;
  if (error === undefined) return "success";
  return OUTCOME_BY_RESULT[error.result] ?? "failed";
}

function createCall(
  services: StageServices,
  task: StageTask,
  plan: AttemptPlan,
): StageCall {
  const { context, stage } = task;
  const { progress } = plan;
  const remaining = context.deadlineAt - services.timer.now();
  return {
    requestId: context.requestId,
    stageId: stage.id,
    attemptId: services.random.nextHexadecimal(8),
    accountId: context.account.id,
    priority: context.priority,
    remainingMilliseconds: Math.max(0, Math.floor(remaining)),
    input: task.input,
    ...(stage.model === undefined ? {} : { model: stage.model }),
    ...(stage.adapter === undefined ? {} : { adapter: stage.adapter }),
    ...(task.prefixHash === undefined ? {} : { prefixHash: task.prefixHash }),
    ...(progress.length === 0
      ? {}
      : { resumeOffset: progress.length, partialText: progress.text }),
    ...(plan.resumeAttemptId === undefined
      ? {}
      : { resumeAttemptId: plan.resumeAttemptId }),
  };
}
