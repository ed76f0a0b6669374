/** What hedging one service cost, and what it gave. */
export interface HedgeCost {
  readonly calls: number;
  readonly hedges: number;
  /** Hedges whose answer came first. */
  readonly wins: number;
  /** Time that endpoints spent on the calls that lost. */
  readonly lostRunnerMilliseconds: number;
}
