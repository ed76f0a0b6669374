/** What a worker says of the scenario it ran. */
export interface ScenarioAnswer {
  /** Why it failed; absent when it held. */
  readonly failure?: string;
}
