import { expect } from "earl";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { FAILURES, INAPPLICABLE_PAIRS } from "../../language/failures.ts";
import { loadScenarios } from "../../language/load_scenarios.ts";
import { parseScenarios } from "../../language/parse_scenarios.ts";
import { FURTHER_INVARIANTS, INVARIANTS } from "../../language/invariants.ts";
import {
  countScenarios,
  renderCoverage,
} from "../../language/render_coverage.ts";
import { renderMutants } from "../../language/render_mutants.ts";
import { renderSteps } from "../../language/render_steps.ts";
import { scenarioTitle } from "../../language/scenario_title.ts";
import { StepPattern } from "../../language/step_pattern.ts";
import { MUTANTS } from "../../mutants/mutants.ts";
import { STEP_GROUPS } from "../../steps/step_table.ts";

const PAGE = new URL("../../../../../docs/SCENARIOS.md", import.meta.url);
const SCENARIOS = loadScenarios();

function withoutLayout(text: string): string {
  return text.replace(/[\s-]+/g, " ");
}

test("every invariant has a scenario for each failure that can affect it, and one with two failures", () => {
  const missing = Object.keys(INVARIANTS).flatMap((invariant) => [
    ...Object.keys(FAILURES).filter((failure) =>
      failure !== "network-cut" &&
      !(`${invariant} ${failure}` in INAPPLICABLE_PAIRS) &&
      countScenarios(SCENARIOS, { invariant, failure }) === 0
    ).map((failure) => `${invariant} ${failure}`),
    ...SCENARIOS.some((scenario) =>
        scenario.invariant === invariant && scenario.failures.length > 1
      )
      ? []
      : [`${invariant} two at once`],
  ]);
  expect(missing).toEqual([]);
});

test("every scenario has a known invariant, known tags and a unique title", () => {
  const unknown = SCENARIOS.flatMap(({ invariant, failures }) => [
    ...invariant in { ...INVARIANTS, ...FURTHER_INVARIANTS } ? [] : [invariant],
    ...failures.filter((failure) => !(failure in FAILURES)),
  ]);
  expect(unknown).toEqual([]);
  const titles = SCENARIOS.map(scenarioTitle);
  expect(new Set(titles).size).toEqual(titles.length);
});

test("every mutant names an existing scenario", () => {
  const titles = SCENARIOS.map(scenarioTitle);
  const lost = MUTANTS.filter(({ noticedBy }) => !titles.includes(noticedBy));
  expect(lost).toEqual([]);
});

test("docs/SCENARIOS.md lists the current steps, coverage and mutants", () => {
  const page = withoutLayout(readFileSync(PAGE, "utf8"));
  for (const [name, table] of Object.entries(STEP_GROUPS)) {
    const rendered = withoutLayout(renderSteps({ [name]: table })).trim();
    expect(page.includes(rendered)).toEqual(true);
  }
  const coverage = withoutLayout(renderCoverage(SCENARIOS)).trim();
  expect(page.includes(coverage)).toEqual(true);
  const mutants = withoutLayout(renderMutants(MUTANTS)).trim();
  expect(page.includes(mutants)).toEqual(true);
});

test("a pattern matches whole texts and extracts its values", () => {
  const pattern = new StepPattern("{who:endpoints} waits {time:duration}");
  const values = pattern.match("every engine waits 1.5 s");
  expect(values?.text("who")).toEqual("every engine");
  expect(values?.milliseconds("time")).toEqual(1_500);
  expect(pattern.match("engine-1 waits 5 s more")).toEqual(undefined);
  expect(pattern.match("daemon 1 waits 5 s")).toEqual(undefined);
});

test("an outline becomes one scenario per row, with its tags and seed", () => {
  const text = `Feature: F
  @seed-7 @burst
  Scenario Outline: it <verb>
    Given it <verb> well

    Examples:
      | verb |
      | runs |
      | ends |`;
  const source = { invariant: "own_results", file: "f.feature" };
  const found = parseScenarios(text, source);
  expect(found.map(({ name }) => name)).toEqual(["it runs", "it ends"]);
  expect(found.map(({ seed }) => seed)).toEqual([7, 7]);
  expect(found[0]?.failures).toEqual(["burst"]);
  expect(found[1]?.steps).toEqual([{ text: "it ends well", line: 4 }]);
});
