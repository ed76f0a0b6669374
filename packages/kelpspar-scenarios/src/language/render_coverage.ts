import type { Scenario } from "./scenario.ts";
import { FAILURES, INAPPLICABLE_PAIRS } from "./failures.ts";
import { INVARIANTS } from "./invariants.ts";

/** Renders the coverage table of docs/SCENARIOS.md in Markdown. */
export function renderCoverage(scenarios: readonly Scenario[]): string {
  const invariants = Object.keys(INVARIANTS);
  const rows = Object.keys(FAILURES).map((failure) => [
    `\`@${failure}\``,
    ...invariants.map((invariant) => {
      const count = countScenarios(scenarios, { invariant, failure });
      const isUntouched = `${invariant} ${failure}` in INAPPLICABLE_PAIRS;
      return isUntouched ? "–" : String(count);
    }),
  ]);
  const multipleFailures = invariants.map((invariant) =>
    String(
      scenarios.filter((scenario) =>
        scenario.invariant === invariant && scenario.failures.length > 1
      ).length,
    )
  );
  const header = ["", ...invariants.map((invariant) => `\`${invariant}\``)];
  return [
    header,
    header.map(() => "---"),
    ...rows,
    ["two at once", ...multipleFailures],
  ].map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

/** Counts the scenarios of an invariant that contain a failure. */
export function countScenarios(
  scenarios: readonly Scenario[],
  cell: { readonly invariant: string; readonly failure: string },
): number {
  return scenarios.filter((scenario) =>
    scenario.invariant === cell.invariant &&
    scenario.failures.includes(cell.failure)
  ).length;
}
