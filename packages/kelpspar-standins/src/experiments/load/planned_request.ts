import type { ExperimentPipeline } from "./load_plan.ts";

/** A request that the load generator will send. */
export interface PlannedRequest {
  /** Send time in milliseconds since the start of the load. */
  readonly at: number;
  /** False during the warm-up. */
  readonly isMeasured: boolean;
  /** Unique `token=…` of this request. */
  readonly token: string;
  readonly account: string;
  readonly availabilityZone: string;
  readonly pipeline: ExperimentPipeline;
  readonly input: string;
  readonly deadlineMilliseconds: number;
  /** The complete text of a correct answer. */
  readonly expectedText: string;
  readonly hasOnceStage: boolean;
}
