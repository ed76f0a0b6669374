/** Inputs of the scheduler for one permit. */
export interface PermitRequest {
  readonly service: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  readonly accountId: string;
  readonly pipelineId: string;
  readonly stageId: string;
  /** The stages still to run, this one first. */
  readonly stageIds: readonly string[];
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly bytes: number;
  readonly prefixHash: string | undefined;
  /** Ids of endpoints to avoid, for retries and hedges. */
  readonly exclude: ReadonlySet<string>;
  readonly signal: AbortSignal;
}
