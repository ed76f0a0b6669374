import type { ExperimentRun } from "./experiment.ts";
import { ARMS } from "./arm.ts";

/** Creates the same run for each arm. */
export function bothArms(
  run: Omit<ExperimentRun, "arm">,
): readonly ExperimentRun[] {
  return ARMS.map((arm) => ({ ...run, arm }));
}
