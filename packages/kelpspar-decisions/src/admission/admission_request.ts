/** A stage that has not run yet, with the queue wait in front of it. */
export interface RemainingStage {
  readonly stageId: string;
  /** `FairQueue.estimateWait` of its service for this account. */
  readonly waitMilliseconds: number;
}

/** A request that is about to start, or to start its next stage. */
export interface AdmissionRequest {
  readonly pipelineId: string;
  readonly remainingMilliseconds: number;
  /** Remaining stages in execution order. */
  readonly stages: readonly RemainingStage[];
  /** `arrival` before the first stage, `stage` before any later stage. */
  readonly point: "arrival" | "stage";
  /** False if a failure during execution would leave the outcome unknown. */
  readonly repeatable: boolean;
  /** True if the request was admitted as a probe on arrival. */
  readonly isProbe?: boolean;
}
