import type { StageTask } from "./stage_task.ts";

/** Told what stages do, for metrics. */
export interface StageObserver {
  onAttempt(task: StageTask, attempt: {
    readonly outcome: string;
    readonly runnerMilliseconds: number;
  }): void;
  onRetry(task: StageTask): void;
  onHedge(task: StageTask): void;
  onStageEnd(task: StageTask, milliseconds: number): void;
}
