import type { StageTask } from "./stage_task.ts";

/** Receives the events of stages, for metrics. */
export interface StageObserver {
  onAttempt(task: StageTask, attempt: {
    readonly outcome: string;
    readonly runnerMilliseconds: number;
  }): void;
  onRetry(task: StageTask): void;
  onHedge(task: StageTask): void;
  onStageEnd(task: StageTask, milliseconds: number): void;
}
