import type { ExperimentPipeline } from "./load_plan.ts";

/** A request that the loader will send. */
export interface PlannedRequest {
  /** When it is sent, milliseconds from the begin of the load. */
  readonly at: number;
  /** False for a request of the warm-up. */
  readonly isMeasured: boolean;
  /** The `token=…` that is its own. */
  readonly token: string;
  readonly account: string;
  readonly availabilityZone: string;
  readonly pipeline: ExperimentPipeline;
  readonly input: string;
  readonly deadlineMilliseconds: number;
  /** The whole text that answers it. */
  readonly expectedText: string;
  readonly hasOnceStage: boolean;
}
