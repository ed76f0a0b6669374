import type { CallProof } from "kelpspar-decisions/claims";

/** What one stage of one request did so far. */
export interface StageTrace {
  readonly stageId: string;
  /** True for a stage that must run at most once. */
  readonly once: boolean;
  startedAt: number;
  /** When the first call was sent; undefined before. */
  callStartedAt: number | undefined;
  endpointId: string | undefined;
  attempts: number;
  milliseconds: number;
  runnerMilliseconds: number;
  tokensIn: number;
  tokensOut: number;
  outcome: "running" | "completed" | "failed";
  /** One for each call sent; the proof behind a `not_run`. */
  readonly dispatches: CallProof[];
}
