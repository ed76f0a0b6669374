/** A stage that is still to run, and the queue in front of it. */
export interface StageAhead {
  readonly stageId: string;
  /** `FairQueue.estimateWait` of its service for this account. */
  readonly waitMilliseconds: number;
}

/** A request that wants to start, or to start its next stage. */
export interface AdmissionRequest {
  readonly pipelineId: string;
  readonly remainingMilliseconds: number;
  /** The stages still to run, in their order. */
  readonly stages: readonly StageAhead[];
  /** `arrival` before the first stage, `stage` before any later one. */
  readonly point: "arrival" | "stage";
  /** False when a failure under way would leave the outcome unknown. */
  readonly repeatable: boolean;
  /** True when the request was let through as a probe at its arrival. */
  readonly isProbe?: boolean;
}
