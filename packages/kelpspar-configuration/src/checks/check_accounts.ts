import type { ConfigurationProblem } from "../problems/configuration_problem.ts";
import type { ConfigurationOutline } from "./configuration_outline.ts";
import { formatPath } from "../problems/format_path.ts";
import { readableElements } from "./readable_elements.ts";

/** Decimal shares such as 0.1 have no exact binary representation. */
const SHARE_TOLERANCE = 1e-9;

/** Checks that shares sum to at most 1 and each account may use a pipeline. */
export function checkAccounts(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  return [...checkShares(outline), ...checkPipelineAccess(outline)];
}

function checkShares(outline: ConfigurationOutline): ConfigurationProblem[] {
  let sum = 0;
  for (const { element } of readableElements(outline.accounts, [])) {
    sum += element.share ?? 0;
  }
  if (sum <= 1 + SHARE_TOLERANCE) return [];
  const rounded = Number(sum.toPrecision(6));
  const message = `The shares sum to ${rounded}, which is more than 1`;
  return [{ path: "accounts", message }];
}

function checkPipelineAccess(
  outline: ConfigurationOutline,
): ConfigurationProblem[] {
  const { accounts, pipelines } = outline;
  if (pipelines === null) return [];
  const served = new Set<string | null>();
  for (const { element } of readableElements(pipelines, [])) {
    // An unreadable list may name any account, so no account is reported.
    if (element.accounts === null) return [];
    for (const entry of element.accounts) served.add(entry?.account ?? null);
  }
  return readableElements(accounts, ["accounts"]).flatMap(
    ({ element, path }) => {
      if (element.id === null || served.has(element.id)) return [];
      const message = `No pipeline serves the account "${element.id}"`;
      return [{ path: formatPath(path), message }];
    },
  );
}
