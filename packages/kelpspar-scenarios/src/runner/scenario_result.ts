/** What a worker says of the scenario it ran. */
export interface ScenarioResult {
  /** Why it failed; absent when it held. */
  readonly failure?: string;
  /** True when the worker's process ends with this answer. */
  readonly isLast?: boolean;
}
