import type { ConfigurationProblem } from "../problems/configuration_problem.ts";
import type { ConfigurationOutline } from "./configuration_outline.ts";
import { formatPath } from "../problems/format_path.ts";
import { listed } from "./readable_elements.ts";

/** Decimal shares such as 0.1 have no exact binary form. */
const SHARE_TOLERANCE = 1e-9;

/** Shares sum to at most 1, and each account may use some pipeline. */
export function checkAccounts(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  return [...checkShares(outline), ...checkServed(outline)];
}

function checkShares(outline: ConfigurationOutline): ConfigurationProblem[] {
  let sum = 0;
  for (const { element } of listed(outline.accounts, [])) {
    sum += element.share ?? 0;
  }
  if (sum <= 1 + SHARE_TOLERANCE) return [];
  const rounded = Number(sum.toPrecision(6));
  const message = `The shares sum to ${rounded}, which is more than 1`;
  return [{ path: "accounts", message }];
}

function checkServed(outline: ConfigurationOutline): ConfigurationProblem[] {
  const { accounts, pipelines } = outline;
  if (pipelines === null) return [];
  const served = new Set<string | null>();
  for (const { element } of listed(pipelines, [])) {
    // An unreadable list may name any account, so nothing is said of them.
    if (element.accounts === null) return [];
    for (const entry of element.accounts) served.add(entry?.account ?? null);
  }
  return listed(accounts, ["accounts"]).flatMap(({ element, path }) => {
    if (element.id === null || served.has(element.id)) return [];
    const message = `No pipeline serves the account "${element.id}"`;
    return [{ path: formatPath(path), message }];
  });
}
