/** What the faults hold for one call. */
export interface CallFate {
  /** Fails it before it starts, or while it runs. */
  readonly fails: "never" | "before" | "running";
  /** Runs it whole and drops the connection in place of the last record. */
  readonly losesAnswer: boolean;
  /** Drops the connection on the way. */
  readonly cuts: boolean;
  /** How far it comes before it fails or is cut, 0 to 1. */
  readonly progress: number;
}
