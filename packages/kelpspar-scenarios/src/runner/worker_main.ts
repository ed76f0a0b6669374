import type { ScenarioResult } from "./scenario_result.ts";
import type { ScenarioJob } from "./scenario_job.ts";
import { loadScenarios } from "../language/load_scenarios.ts";
import { runScenario } from "../language/run_scenario.ts";
import { MUTANTS } from "../mutants/mutants.ts";
import { STEPS } from "../steps/step_table.ts";

const SCENARIOS = loadScenarios();

let onUnhandledRejection = (_reason: unknown): void => {};

// An unhandled rejection would crash a daemon process, so it fails the current
// scenario.
process.on("unhandledRejection", (reason) => onUnhandledRejection(reason));

process.on("message", (order: ScenarioJob) => {
  const crashed = new Promise<ScenarioResult>((resolve) => {
    onUnhandledRejection = (reason) =>
      resolve({
        failure: `A daemon would have crashed: ${messageOf(reason)}`,
        isLast: true,
      });
  });
  void Promise.race([runJob(order), crashed]).then((result) =>
    process.send?.(result, () => {
      if (result.isLast === true) process.exit(1);
    })
  );
});

async function runJob(order: ScenarioJob): Promise<ScenarioResult> {
  const scenario = SCENARIOS[order.index];
  if (scenario === undefined) return { failure: "No scenario at this index" };
  const mutant = MUTANTS.find(({ name }) => name === order.mutant);
  try {
    await runScenario(scenario, {
      steps: STEPS,
      ...(mutant === undefined ? {} : { mutation: mutant.mutation }),
    });
    return {};
  } catch (thrown) {
    return { failure: messageOf(thrown) };
  }
}

function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
