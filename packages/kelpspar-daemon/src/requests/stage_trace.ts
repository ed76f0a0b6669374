import type { DispatchFact } from "./dispatch_fact.ts";

/** What one stage of one request did so far. */
export interface StageTrace {
  readonly stageId: string;
  /** True for a stage that must run at most once. */
  readonly once: boolean;
  readonly startedAt: number;
  endpointId: string | undefined;
  attempts: number;
  milliseconds: number;
  runnerMilliseconds: number;
  tokensIn: number;
  tokensOut: number;
  outcome: "running" | "completed" | "failed";
  /** One for each call sent; the proof behind a `not_run`. */
  readonly dispatches: DispatchFact[];
}
