import type { WorldMutation } from "../world/world_mutation.ts";
import type { Scenario, ScenarioStep } from "./scenario.ts";
import type { StepTable } from "./step_definition.ts";
import { World } from "../world/world.ts";
import { StepPattern } from "./step_pattern.ts";

/** Options of `runScenario`. */
export interface RunScenarioOptions {
  readonly steps: StepTable;
  /** Disables a safeguard, to check that the scenario detects it. */
  readonly mutation?: WorldMutation;
}

interface PreparedStep {
  readonly pattern: StepPattern;
  readonly handler: StepTable[string]["handler"];
}

/** Runs a scenario; throws an Error that names the step that failed. */
export async function runScenario(
  scenario: Scenario,
  options: RunScenarioOptions,
): Promise<void> {
  const prepared = prepareSteps(options.steps);
  const world = new World({
    seed: scenario.seed,
    mutation: options.mutation ?? {},
  });
  try {
    for (const step of scenario.steps) {
      await runStep(world, { step, prepared, scenario });
    }
  } finally {
    world.close();
  }
}

function prepareSteps(steps: StepTable): readonly PreparedStep[] {
  return Object.entries(steps).map(([pattern, { handler }]) => ({
    pattern: new StepPattern(pattern),
    handler,
  }));
}

async function runStep(world: World, run: {
  readonly step: ScenarioStep;
  readonly prepared: readonly PreparedStep[];
  readonly scenario: Scenario;
}): Promise<void> {
  const { step, prepared, scenario } = run;
  const place = `${scenario.file}:${step.line} "${step.text}"`;
  const found = prepared.flatMap(({ pattern, handler }) => {
    const values = pattern.match(step.text);
    return values === undefined ? [] : [{ handler, values }];
  });
  const [only] = found;
  if (only === undefined || found.length > 1) {
    throw new Error(`${place} matches ${found.length} steps instead of 1`);
  }
  try {
    await only.handler(world, only.values);
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    throw new Error(`${place}: ${reason}`, { cause });
  }
}
