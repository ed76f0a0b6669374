export type { Scenario, ScenarioStep } from "./language/scenario.ts";
export type {
  StepDefinition,
  StepHandler,
  StepTable,
} from "./language/step_definition.ts";
export type { RunScenarioOptions } from "./language/run_scenario.ts";
export type { Mutant } from "./mutants/mutant.ts";
export type { WorldMutation } from "./world/world_mutation.ts";
export type { WorldOptions } from "./world/world.ts";
export { loadScenarios } from "./language/load_scenarios.ts";
export { parseScenarios } from "./language/parse_scenarios.ts";
export { renderSteps } from "./language/render_steps.ts";
export { runScenario } from "./language/run_scenario.ts";
export { MUTANTS } from "./mutants/mutants.ts";
export { ScenarioPool } from "./runner/scenario_pool.ts";
export { STEP_GROUPS, STEPS } from "./steps/step_table.ts";
export { World } from "./world/world.ts";
