import type { CallProof } from "kelpspar-decisions/claims";

/** Progress and cost of one stage of one request. */
export interface StageTrace {
  readonly stageId: string;
  /** True for a stage that must run at most once. */
  readonly once: boolean;
  startedAt: number;
  /** When the first call was sent; undefined until then. */
  callStartedAt: number | undefined;
  endpointId: string | undefined;
  attempts: number;
  milliseconds: number;
  runnerMilliseconds: number;
  tokensIn: number;
  tokensOut: number;
  outcome: "running" | "completed" | "failed";
  /** One entry for each call sent; they prove a `not_run` outcome. */
  readonly dispatches: CallProof[];
}
