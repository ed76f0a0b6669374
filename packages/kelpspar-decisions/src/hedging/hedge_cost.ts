/** Cost and benefit of hedging for one service. */
export interface HedgeCost {
  readonly calls: number;
  readonly hedges: number;
  /** Hedges that answered before the first call. */
  readonly wins: number;
  /** Time that endpoints spent on the losing calls. */
  readonly lostRunnerMilliseconds: number;
}
