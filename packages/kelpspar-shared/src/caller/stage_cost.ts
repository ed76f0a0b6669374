/** The cost of one stage of one request. */
export interface StageCost {
  readonly stageId: string;
  /**
   * Time that endpoints spent on all attempts of the stage, in milliseconds.
   */
  readonly runnerMilliseconds: number;
  readonly tokensIn: number;
  readonly tokensOut: number;
  /** Calls sent to endpoints, hedges and retries included. */
  readonly attempts: number;
}
