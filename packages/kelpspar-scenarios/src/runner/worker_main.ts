import type { ScenarioAnswer } from "./scenario_result.ts";
import type { ScenarioOrder } from "./scenario_job.ts";
import { loadScenarios } from "../language/load_scenarios.ts";
import { runScenario } from "../language/run_scenario.ts";
import { MUTANTS } from "../mutants/mutants.ts";
import { STEPS } from "../steps/step_table.ts";

const SCENARIOS = loadScenarios();

let onUnhandled = (_reason: unknown): void => {};

// What nobody handles would end a daemon's process, so that it fails the
// scenario that runs.
process.on("unhandledRejection", (reason) => onUnhandled(reason));

process.on("message", (order: ScenarioOrder) => {
  const crashed = new Promise<ScenarioAnswer>((resolve) => {
    onUnhandled = (reason) =>
      resolve({
        failure: `A daemon would have crashed: ${reasonOf(reason)}`,
        isLast: true,
      });
  });
  void Promise.race([answer(order), crashed]).then((found) =>
    process.send?.(found, () => {
      if (found.isLast === true) process.exit(1);
    })
  );
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
    return { failure: reasonOf(thrown) };
  }
}

function reasonOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
