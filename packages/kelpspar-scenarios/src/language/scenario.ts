/** One line of a scenario, without its keyword. */
export interface ScenarioStep {
  readonly text: string;
  /** The line in the feature file, for error messages. */
  readonly line: number;
}

/** A scenario of a feature file. */
export interface Scenario {
  /** The directory in `scenarios/`, named for the invariant it checks. */
  readonly invariant: string;
  readonly feature: string;
  readonly name: string;
  /** Path of the feature file, relative to the repository root. */
  readonly file: string;
  /** From a tag `@seed-7`; default 1. */
  readonly seed: number;
  /** The failures in it: its other tags, without `@`. */
  readonly failures: readonly string[];
  readonly steps: readonly ScenarioStep[];
}
