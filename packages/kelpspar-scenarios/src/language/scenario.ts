/** One line of a scenario, without its keyword. */
export interface ScenarioStep {
  readonly text: string;
  /** The line in the feature file, for failures. */
  readonly line: number;
}

/** A scenario as read from a feature file. */
export interface Scenario {
  /** The directory below `scenarios/`: the promise that it proves. */
  readonly invariant: string;
  readonly feature: string;
  readonly name: string;
  /** The feature file, from the repository's root. */
  readonly file: string;
  /** From a tag `@seed-7`; default 1. */
  readonly seed: number;
  /** What fails in it, from its other tags, without their `@`. */
  readonly failures: readonly string[];
  readonly steps: readonly ScenarioStep[];
}
