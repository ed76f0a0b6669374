import type { Scenario } from "./scenario.ts";

/** The title of a scenario's test. */
export function scenarioTitle(scenario: Scenario): string {
  return `${scenario.invariant}: ${scenario.name}`;
}
