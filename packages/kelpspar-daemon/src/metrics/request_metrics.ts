import type { FinalRecord } from "../requests/answer_log.ts";
import type { RequestContext } from "../requests/request_context.ts";
import type { StageObserver } from "../requests/stage_observer.ts";
import type { StageTask } from "../requests/stage_task.ts";
import type { PermitRequest } from "../scheduling/permit_request.ts";
import type { DaemonMetrics, MetricTags } from "./daemon_metrics.ts";
import type { KelpsparError, TimerService } from "kelpspar-shared";

/** Counts of a client account's requests by outcome on this daemon. */
export interface AccountTally {
  completed: number;
  failed: number;
  refused: number;
}

/** Records metrics of requests and their stages. */
export class RequestMetrics implements StageObserver {
  readonly #metrics: DaemonMetrics;
  readonly #timer: TimerService;
  readonly #tallies = new Map<string, AccountTally>();

  constructor(options: {
    readonly metrics: DaemonMetrics;
    readonly timer: TimerService;
  }) {
    this.#metrics = options.metrics;
    this.#timer = options.timer;
  }

  /** The request counts of a client account. */
  accountTally(accountId: string): AccountTally {
    const existing = this.#tallies.get(accountId);
    if (existing !== undefined) return existing;
    const tally = { completed: 0, failed: 0, refused: 0 };
    this.#tallies.set(accountId, tally);
    return tally;
  }

  onEnd(context: RequestContext, final: FinalRecord): void {
    const tags = { account: context.account.id, class: context.pipeline.id };
    const milliseconds = this.#timer.now() - context.arrivedAt;
    const isWhole = final.type === "end";
    const tally = this.accountTally(context.account.id);
    if (isWhole) tally.completed++;
    else tally.failed++;
    this.#metrics.count("requests", {
      ...tags,
      result: isWhole ? "ok" : final.result,
    });
    this.#metrics.record("attainment", isWhole ? 100 : 0, tags);
    this.#metrics.record("request_milliseconds", milliseconds, tags);
    for (const trace of context.traces.values()) {
      const stageTags = { ...tags, stage: trace.stageId };
      this.#metrics.record(
        "cost_runner_milliseconds",
        trace.runnerMilliseconds,
        stageTags,
      );
      const tokens = trace.tokensIn + trace.tokensOut;
      if (tokens > 0) this.#metrics.record("cost_tokens", tokens, stageTags);
    }
  }

  onRefused(accountId: string, error: KelpsparError): void {
    this.accountTally(accountId).refused++;
    this.#metrics.count("refusals", {
      account: accountId,
      result: error.result,
    });
  }

  onWait(request: PermitRequest, milliseconds: number): void {
    this.#metrics.record("queue_milliseconds", milliseconds, {
      account: request.accountId,
      class: request.pipelineId,
      stage: request.stageId,
    });
  }

  onAttempt(
    task: StageTask,
    attempt: { readonly outcome: string },
  ): void {
    this.#metrics.count("attempts", {
      ...toStageTags(task),
      outcome: attempt.outcome,
    });
  }

  onRetry(task: StageTask): void {
    this.#metrics.count("retries", toStageTags(task));
  }

  onHedge(task: StageTask): void {
    this.#metrics.count("hedges", toStageTags(task));
  }

  onStageEnd(task: StageTask, milliseconds: number): void {
    this.#metrics.record("stage_milliseconds", milliseconds, toStageTags(task));
  }
}

function toStageTags(task: StageTask): MetricTags {
  return {
    account: task.context.account.id,
    class: task.context.pipeline.id,
    stage: task.stage.id,
  };
}
