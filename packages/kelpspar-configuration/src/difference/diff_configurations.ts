import type { ConfigurationChange } from "./configuration_change.ts";
import { formatPath } from "../problems/format_path.ts";
import { elementKey, isKeyedList, isObject } from "../overlay/element_key.ts";

/**
 * Lists what differs, by path, in the order of `before` and then of what
 * `after` adds. Empty when and only when the two say the same; the order of
 * an object's keys says nothing, that of a list's elements does.
 */
export function differConfigurations(
  before: unknown,
  after: unknown,
): ConfigurationChange[] {
  return differ("", { before, after });
}

interface Sides {
  readonly before: unknown;
  readonly after: unknown;
}

function differ(path: string, sides: Sides): ConfigurationChange[] {
  const { before, after } = sides;
  if (before === undefined && after === undefined) return [];
  if (before === undefined) return [{ path, kind: "added", after }];
  if (after === undefined) return [{ path, kind: "removed", before }];
  if (isObject(before) && isObject(after)) {
    return differEntries(
      new Map(Object.entries(before)),
      new Map(Object.entries(after)),
      (key) => joinKey(path, key),
    );
  }
  const beforeById = byUniqueKey(before);
  const afterById = byUniqueKey(after);
  if (beforeById !== undefined && afterById !== undefined) {
    return [
      ...differOrder(path, {
        before: [...beforeById.keys()],
        after: [...afterById.keys()],
      }),
      ...differEntries(beforeById, afterById, (key) => `${path}[${key}]`),
    ];
  }
  if (sameValue(before, after)) return [];
  return [{ path, kind: "changed", before, after }];
}

function joinKey(path: string, key: string): string {
  const step = formatPath([key]);
  return path === "" || step.startsWith("[") ? path + step : `${path}.${step}`;
}

function differEntries(
  before: ReadonlyMap<string, unknown>,
  after: ReadonlyMap<string, unknown>,
  pathOf: (key: string) => string,
): ConfigurationChange[] {
  const keys = new Set([...before.keys(), ...after.keys()]);
  return [...keys].flatMap((key) =>
    differ(pathOf(key), { before: before.get(key), after: after.get(key) })
  );
}

function differOrder(
  path: string,
  keys: { readonly before: string[]; readonly after: string[] },
): ConfigurationChange[] {
  const known = new Set(keys.before);
  const kept = new Set(keys.after);
  const before = keys.before.filter((key) => kept.has(key));
  const after = keys.after.filter((key) => known.has(key));
  if (before.every((key, index) => key === after[index])) return [];
  const { before: allBefore, after: allAfter } = keys;
  return [{ path, kind: "reordered", before: allBefore, after: allAfter }];
}

/** Undefined unless the value is a list whose elements have unique keys. */
function byUniqueKey(
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

function sameValue(left: unknown, right: unknown): boolean {
  if (Array.isArray(left) && Array.isArray(right)) {
    return left.length === right.length &&
      left.every((value, index) => sameValue(value, right[index]));
  }
  if (isObject(left) && isObject(right)) {
    const names = Object.keys(left);
    return names.length === Object.keys(right).length &&
      names.every((name) =>
        Object.hasOwn(right, name) && sameValue(left[name], right[name])
      );
  }
  return left === right;
}
