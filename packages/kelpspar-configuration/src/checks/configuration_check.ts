import type { ConfigurationProblem } from "../problems/configuration_problem.ts";
import type { ConfigurationOutline } from "./configuration_outline.ts";

/** Finds problems between several parts of a configuration. */
export type ConfigurationCheck = (
  outline: ConfigurationOutline,
) => ConfigurationProblem[];
