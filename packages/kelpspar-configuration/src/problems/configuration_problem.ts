/** One thing that is wrong in a configuration. */
export interface ConfigurationProblem {
  /** Where, such as `pipelines[1].stages[2].service`; empty for the whole. */
  readonly path: string;
  /** What is wrong there, one sentence without a full stop. */
  readonly message: string;
}
