import { elementKey, isKeyedList, isObject, keyField } from "./element_key.ts";

/**
 * Merges a site's overlay into the base and returns the site's configuration,
 * not yet validated. Objects merge and `null` removes, as in JSON Merge Patch.
 * Lists whose elements have an `id` (or `account`) merge by it: existing
 * elements merge in place, new ones are appended in the overlay's order. Such a
 * list may also be written as an object by id, in which `null` removes the
 * element. All other values are replaced.
 *
 * Source: RFC 7396 (JSON Merge Patch) for objects; the brief, "The product":
 * one base configuration file with an overlay for each site.
 */
export function mergeOverlay(base: unknown, overlay: unknown): unknown {
  if (isObject(overlay)) {
    if (isKeyedListOrEmpty(base) && isListById(overlay)) {
      return mergeListById(base, overlay);
    }
    return mergeObject(isObject(base) ? base : {}, overlay);
  }
  if (isKeyedList(overlay)) {
    return mergeList(isKeyedList(base) ? base : [], overlay);
  }
  return overlay;
}

/** Uses `Object.fromEntries`, which treats `__proto__` as an ordinary key. */
function mergeObject(
  base: Readonly<Record<string, unknown>>,
  overlay: Readonly<Record<string, unknown>>,
): unknown {
  const merged = new Map(Object.entries(base));
  for (const [key, value] of Object.entries(overlay)) {
    if (value === null) merged.delete(key);
    else merged.set(key, mergeOverlay(merged.get(key), value));
  }
  return Object.fromEntries(merged);
}

function isKeyedListOrEmpty(value: unknown): value is readonly unknown[] {
  return isKeyedList(value) || (Array.isArray(value) && value.length === 0);
}

function isListById(overlay: Readonly<Record<string, unknown>>): boolean {
  return Object.values(overlay).every((value) =>
    value === null || isObject(value)
  );
}

function mergeListById(
  base: readonly unknown[],
  overlay: Readonly<Record<string, unknown>>,
): unknown {
  const field = keyField(base[0]) ?? "id";
  const baseKeys = new Set(base.map(elementKey));
  const kept = base.flatMap((element) => {
    const key = elementKey(element);
    if (key === undefined || !Object.hasOwn(overlay, key)) return [element];
    const change = overlay[key];
    if (!isObject(change)) return [];
    return [mergeOverlay(element, { ...change, [field]: key })];
  });
  const added = Object.entries(overlay).flatMap(([key, value]) => {
    if (!isObject(value) || baseKeys.has(key)) return [];
    return [mergeOverlay(undefined, { ...value, [field]: key })];
  });
  return [...kept, ...added];
}

/**
 * Keeps both elements if the overlay lists an id twice, so that the check for
 * duplicate ids reports the mistake, which merging them would hide.
 */
function mergeList(
  base: readonly unknown[],
  overlay: readonly unknown[],
): unknown {
  const list = [...base];
  const seen = new Set<string | undefined>();
  for (const element of overlay) {
    const key = elementKey(element);
    const place = base.findIndex((candidate) => elementKey(candidate) === key);
    if (place < 0 || seen.has(key)) list.push(mergeOverlay(undefined, element));
    else list[place] = mergeOverlay(base[place], element);
    seen.add(key);
  }
  return list;
}
