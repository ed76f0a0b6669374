import type { StageTask } from "./stage_task.ts";

/** Runs one stage of one request to its complete result. */
export interface StageRunner {
  /** Returns the result's text; throws KelpsparError. */
  run(task: StageTask): Promise<string>;
}
