import type { Permit } from "../scheduling/permit.ts";
import type { StageProgress } from "./stage_progress.ts";

/** One attempt about to be made. */
export interface AttemptPlan {
  readonly permit: Permit;
  readonly progress: StageProgress;
  /** The attempt at the same endpoint whose stream is resumed. */
  readonly resumeAttemptId?: string;
  readonly signal: AbortSignal;
}
