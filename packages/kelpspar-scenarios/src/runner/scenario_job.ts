/** A scenario for a worker to run. */
export interface ScenarioJob {
  /** Index in `loadScenarios()`. */
  readonly index: number;
  /** Name of the mutant to apply; default: none. */
  readonly mutant?: string;
}
