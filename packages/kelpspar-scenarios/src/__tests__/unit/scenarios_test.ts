import { after, describe, test } from "node:test";
import { loadScenarios } from "../../language/load_scenarios.ts";
import { scenarioTitle } from "../../language/scenario_title.ts";
import { DEFAULT_WORKERS, ScenarioPool } from "../../runner/scenario_pool.ts";

const pool = new ScenarioPool();

describe("scenarios", { concurrency: DEFAULT_WORKERS }, () => {
  after(() => pool.close());

  for (const [index, scenario] of loadScenarios().entries()) {
    test(scenarioTitle(scenario), async () => {
      const { failure } = await pool.run({ index });
      if (failure !== undefined) throw new Error(failure);
    });
  }
});
