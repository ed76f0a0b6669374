/** What one stage of one request cost. */
export interface StageCost {
  readonly stageId: string;
  /** Time that endpoints spent on the stage, all attempts, milliseconds. */
  readonly runnerMilliseconds: number;
  readonly tokensIn: number;
  readonly tokensOut: number;
  /** Calls sent to endpoints, hedges and retries included. */
  readonly attempts: number;
}
