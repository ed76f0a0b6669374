import type { StageRunner } from "./stage_runner.ts";
import type { StageServices } from "./stage_services.ts";
import type { StageTask } from "./stage_task.ts";
import { StageRun } from "./stage_run.ts";

/** Runs stages with retries and records their durations. */
export class RetryingStageRunner implements StageRunner {
  readonly #services: StageServices;

  constructor(services: StageServices) {
    this.#services = services;
  }

  async run(task: StageTask): Promise<string> {
    const { timer, parts, observer } = this.#services;
    const { context, service, trace } = task;
    trace.startedAt = timer.now();
    try {
      const { text } = await new StageRun(this.#services, task).execute();
      trace.outcome = "completed";
      parts.retries.recordSuccess(
        { accountId: context.account.id, serviceId: service.id },
        timer.now(),
      );
      return text;
    } catch (thrown) {
      trace.outcome = "failed";
      throw thrown;
    } finally {
      trace.milliseconds = timer.now() - trace.startedAt;
      this.#observeTime(task);
      observer.onStageEnd(task, trace.milliseconds);
    }
  }

  /**
   * Records the elapsed time of aborted stages too. With successes only, a
   * hanging stage would appear fast.
   */
  #observeTime(task: StageTask): void {
    const { timer, parts } = this.#services;
    const { context, stage, trace } = task;
    const isAborted = context.abort.signal.aborted;
    if (trace.outcome !== "completed" && !isAborted) return;
    if (trace.callStartedAt === undefined) return;
    parts.stageTimes.observe(context.pipeline.id, stage.id, {
      milliseconds: timer.now() - trace.callStartedAt,
      now: timer.now(),
    });
  }
}
