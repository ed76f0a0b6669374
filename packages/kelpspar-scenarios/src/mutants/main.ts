import type { Mutant } from "./mutant.ts";
import { loadScenarios } from "../language/load_scenarios.ts";
import { scenarioTitle } from "../language/scenario_title.ts";
import { ScenarioPool } from "../runner/scenario_pool.ts";
import { MUTANTS } from "./mutants.ts";

const NAME_WIDTH = 40;

/** Applies each mutant and prints whether its scenario failed. */
async function main(): Promise<void> {
  const pool = new ScenarioPool();
  const results = await Promise.all(
    MUTANTS.map((mutant) => runMutant(pool, mutant)),
  );
  await pool.close();
  for (const { mutant, failure } of results) {
    const verdict = failure === undefined ? "NOT NOTICED" : "noticed";
    process.stdout.write(
      `${mutant.name.padEnd(NAME_WIDTH)}${verdict}  ${mutant.removes}\n` +
        `    ${mutant.noticedBy}\n    ${failure ?? "the scenario held"}\n`,
    );
  }
  const missed = results.filter(({ failure }) => failure === undefined).length;
  process.stdout.write(
    `${results.length - missed} of ${results.length} mutants were noticed\n`,
  );
  if (missed > 0) process.exitCode = 1;
}

async function runMutant(
  pool: ScenarioPool,
  mutant: Mutant,
): Promise<{ readonly mutant: Mutant; readonly failure?: string }> {
  const index = loadScenarios().findIndex((scenario) =>
    scenarioTitle(scenario) === mutant.noticedBy
  );
  if (index < 0) throw new Error(`No scenario "${mutant.noticedBy}"`);
  const { failure } = await pool.run({ index, mutant: mutant.name });
  return { mutant, ...(failure === undefined ? {} : { failure }) };
}

await main();
