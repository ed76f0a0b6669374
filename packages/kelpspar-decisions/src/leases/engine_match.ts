import type { DesiredEngineState, LoadReport } from "kelpspar-shared";

/** Key of a weight load in the grants map. */
export function grantKey(model: string, version: string): string {
  return `${model}@${version}`;
}

/** True if both states are equal, ignoring order. */
export function isSameState(
  left: DesiredEngineState,
  right: DesiredEngineState,
): boolean {
  return left.role === right.role &&
    hasSameModels(left.models, right.models) &&
    hasSameItems(left.adapters, right.adapters);
}

/** True if an engine is ready and in the desired state. */
export function isAsDesired(
  report: LoadReport | undefined,
  desired: DesiredEngineState,
): boolean {
  return report?.state === "ready" && isSameState(report, desired);
}

/** Weights that an engine has to load to reach the desired state. */
export function listMissingWeights(
  report: LoadReport,
  desired: DesiredEngineState,
): readonly { readonly model: string; readonly version: string }[] {
  return Object.entries(desired.models)
    .filter(([model, version]) => report.models[model] !== version)
    .map(([model, version]) => ({ model, version }));
}

function hasSameModels(
  left: Readonly<Record<string, string>>,
  right: Readonly<Record<string, string>>,
): boolean {
  const names = Object.keys(left);
  return names.length === Object.keys(right).length &&
    names.every((name) => left[name] === right[name]);
}

function hasSameItems(
  left: readonly string[],
  right: readonly string[],
): boolean {
  const items = new Set(left);
  return items.size === new Set(right).size &&
    right.every((item) => items.has(item));
}
