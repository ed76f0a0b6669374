import type { Permit } from "../scheduling/permit.ts";
import type { StageProgress } from "./stage_progress.ts";

/** Parameters of one attempt. */
export interface AttemptPlan {
  readonly permit: Permit;
  readonly progress: StageProgress;
  /** The earlier attempt at the same endpoint whose stream is resumed. */
  readonly resumeAttemptId?: string;
  readonly signal: AbortSignal;
}
