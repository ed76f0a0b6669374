import type { Scenario } from "./scenario.ts";
import { FAILURES, UNTOUCHED } from "./failures.ts";
import { PROMISES } from "./invariants.ts";

/** The table of promises and failures for docs/SCENARIOS.md, in Markdown. */
export function renderCoverage(scenarios: readonly Scenario[]): string {
  const promises = Object.keys(PROMISES);
  const rows = Object.keys(FAILURES).map((failure) => [
    `\`@${failure}\``,
    ...promises.map((promise) => {
      const count = countOf(scenarios, { promise, failure });
      const isUntouched = `${promise} ${failure}` in UNTOUCHED;
      return isUntouched ? "–" : String(count);
    }),
  ]);
  const two = promises.map((promise) =>
    String(
      scenarios.filter((one) =>
        one.promise === promise && one.failures.length > 1
      ).length,
    )
  );
  const header = ["", ...promises.map((promise) => `\`${promise}\``)];
  return [
    header,
    header.map(() => "---"),
    ...rows,
    ["two at once", ...two],
  ].map((cells) => `| ${cells.join(" | ")} |`).join("\n");
}

/** How many scenarios of a promise have a failure in them. */
export function countOf(
  scenarios: readonly Scenario[],
  cell: { readonly promise: string; readonly failure: string },
): number {
  return scenarios.filter((scenario) =>
    scenario.promise === cell.promise &&
    scenario.failures.includes(cell.failure)
  ).length;
}
