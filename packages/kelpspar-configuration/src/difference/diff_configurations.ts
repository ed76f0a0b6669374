import type { ConfigurationChange } from "./configuration_change.ts";
import { formatPath } from "../problems/format_path.ts";
import { elementKey, isKeyedList, isObject } from "../overlay/element_key.ts";

/**
 * Lists the differences by path: first in the order of `before`, then additions
 * in the order of `after`. The list is empty if and only if both are equal. The
 * order of a list's elements is significant, that of an object's keys is not.
 */
export function diffConfigurations(
  before: unknown,
  after: unknown,
): ConfigurationChange[] {
  return diffValues("", { before, after });
}

interface ValuePair {
  readonly before: unknown;
  readonly after: unknown;
}

function diffValues(path: string, pair: ValuePair): ConfigurationChange[] {
  const { before, after } = pair;
  if (before === undefined && after === undefined) return [];
  if (before === undefined) return [{ path, kind: "added", after }];
  if (after === undefined) return [{ path, kind: "removed", before }];
  if (isObject(before) && isObject(after)) {
    return diffEntries(
      new Map(Object.entries(before)),
      new Map(Object.entries(after)),
      (key) => joinKey(path, key),
    );
  }
  const beforeById = indexByUniqueKey(before);
  const afterById = indexByUniqueKey(after);
  if (beforeById !== undefined && afterById !== undefined) {
    return [
      ...diffOrder(path, {
        before: [...beforeById.keys()],
        after: [...afterById.keys()],
      }),
      ...diffEntries(beforeById, afterById, (key) => `${path}[${key}]`),
    ];
  }
  if (isEqualValue(before, after)) return [];
  return [{ path, kind: "changed", before, after }];
}

function joinKey(path: string, key: string): string {
  const step = formatPath([key]);
  return path === "" || step.startsWith("[") ? path + step : `${path}.${step}`;
}

function diffEntries(
  before: ReadonlyMap<string, unknown>,
  after: ReadonlyMap<string, unknown>,
  pathOf: (key: string) => string,
): ConfigurationChange[] {
  const keys = new Set([...before.keys(), ...after.keys()]);
  return [...keys].flatMap((key) =>
    diffValues(pathOf(key), { before: before.get(key), after: after.get(key) })
  );
}

function diffOrder(
  path: string,
  keys: { readonly before: string[]; readonly after: string[] },
): ConfigurationChange[] {
  const beforeKeys = new Set(keys.before);
  const afterKeys = new Set(keys.after);
  const before = keys.before.filter((key) => afterKeys.has(key));
  const after = keys.after.filter((key) => beforeKeys.has(key));
  if (before.every((key, index) => key === after[index])) return [];
  const { before: allBefore, after: allAfter } = keys;
  return [{ path, kind: "reordered", before: allBefore, after: allAfter }];
}

/**
 * Returns undefined unless the value is a list of elements with unique keys.
 */
function indexByUniqueKey(
  value: unknown,
): ReadonlyMap<string, unknown> | undefined {
  const elements = new Map<string, unknown>();
  if (Array.isArray(value) && value.length === 0) return elements;
  if (!isKeyedList(value)) return undefined;
  for (const element of value) {
    const key = elementKey(element);
    if (key === undefined || elements.has(key)) return undefined;
    elements.set(key, element);
  }
  return elements;
}

function isEqualValue(left: unknown, right: unknown): boolean {
  if (Array.isArray(left) && Array.isArray(right)) {
    return left.length === right.length &&
      left.every((value, index) => isEqualValue(value, right[index]));
  }
  if (isObject(left) && isObject(right)) {
    const names = Object.keys(left);
    return names.length === Object.keys(right).length &&
      names.every((name) =>
        Object.hasOwn(right, name) && isEqualValue(left[name], right[name])
      );
  }
  return left === right;
}
