import type { ScenarioAnswer } from "./scenario_answer.ts";
import type { ScenarioOrder } from "./scenario_order.ts";
import { loadScenarios } from "../language/load_scenarios.ts";
import { runScenario } from "../language/run_scenario.ts";
import { MUTANTS } from "../mutants/mutants.ts";
import { STEPS } from "../steps/step_table.ts";

const SCENARIOS = loadScenarios();

process.on("message", (order: ScenarioOrder) => {
  void answer(order).then((found) => process.send?.(found));
});

async function answer(order: ScenarioOrder): Promise<ScenarioAnswer> {
  const scenario = SCENARIOS[order.index];
  if (scenario === undefined) return { failure: "There is no such scenario" };
  const mutant = MUTANTS.find(({ name }) => name === order.mutant);
  try {
    await runScenario(scenario, {
      steps: STEPS,
      ...(mutant === undefined ? {} : { mutation: mutant.mutation }),
    });
    return {};
  } catch (thrown) {
    return { failure: thrown instanceof Error ? thrown.message : `${thrown}` };
  }
}
