import type { ConfigurationProblem } from "../problems/configuration_problem.ts";
import type { ConfigurationOutline } from "./configuration_outline.ts";

/** Looks for problems that concern several parts of a configuration. */
export type ConfigurationCheck = (
  outline: ConfigurationOutline,
) => ConfigurationProblem[];
