/** Which scenario a worker is to run. */
export interface ScenarioJob {
  /** Its place in `loadScenarios()`. */
  readonly index: number;
  /** The guard to take away, by its name in the table of mutants. */
  readonly mutant?: string;
}
