/** A problem in a configuration. */
export interface ConfigurationProblem {
  /** The path, such as `pipelines[1].stages[2].service`; empty for the root. */
  readonly path: string;
  /** A description of the problem, one sentence without a full stop. */
  readonly message: string;
}
