/** The message of a worker about a scenario that it ran. */
export interface ScenarioResult {
  /** Why the scenario failed; undefined if it passed. */
  readonly failure?: string;
  /** True if the worker process exits after this message. */
  readonly isLast?: boolean;
}
