import { elementKey, isKeyedList, isObject, keyField } from "./element_key.ts";

/**
 * Lays a site's overlay over the base and gives the site's configuration, not
 * yet checked. Objects merge and `null` removes, as in JSON Merge Patch. Lists
 * whose elements have an `id` (or `account`) merge by it: known elements merge
 * in place, new ones follow in the overlay's order. Such a list may also be
 * written as an object by id, in which `null` removes the element. All else is
 * replaced whole.
 *
 * Source: RFC 7396 (JSON Merge Patch) for objects; the brief, "The product":
 * one base configuration file with an overlay for each site.
 */
export function layOverlay(base: unknown, overlay: unknown): unknown {
  if (isObject(overlay)) {
    if (isKeyedListOrEmpty(base) && isWrittenById(overlay)) {
      return layById(base, overlay);
    }
    return layObject(isObject(base) ? base : {}, overlay);
  }
  if (isKeyedList(overlay)) {
    return layList(isKeyedList(base) ? base : [], overlay);
  }
  return overlay;
}

/** Entries are built with `fromEntries`, which gives `__proto__` no power. */
function layObject(
  base: Readonly<Record<string, unknown>>,
  overlay: Readonly<Record<string, unknown>>,
): unknown {
  const merged = new Map(Object.entries(base));
  for (const [key, value] of Object.entries(overlay)) {
    if (value === null) merged.delete(key);
    else merged.set(key, layOverlay(merged.get(key), value));
  }
  return Object.fromEntries(merged);
}

function isKeyedListOrEmpty(value: unknown): value is readonly unknown[] {
  return isKeyedList(value) || (Array.isArray(value) && value.length === 0);
}

function isWrittenById(overlay: Readonly<Record<string, unknown>>): boolean {
  return Object.values(overlay).every((value) =>
    value === null || isObject(value)
  );
}

function layById(
  base: readonly unknown[],
  overlay: Readonly<Record<string, unknown>>,
): unknown {
  const field = keyField(base[0]) ?? "id";
  const known = new Set(base.map(elementKey));
  const kept = base.flatMap((element) => {
    const key = elementKey(element);
    if (key === undefined || !Object.hasOwn(overlay, key)) return [element];
    const change = overlay[key];
    if (!isObject(change)) return [];
    return [layOverlay(element, { ...change, [field]: key })];
  });
  const added = Object.entries(overlay).flatMap(([key, value]) => {
    if (!isObject(value) || known.has(key)) return [];
    return [layOverlay(undefined, { ...value, [field]: key })];
  });
  return [...kept, ...added];
}

/**
 * An id that the overlay lists twice is kept twice, so that the check for
 * duplicate ids finds the mistake, which merging both would hide.
 */
function layList(
  base: readonly unknown[],
  overlay: readonly unknown[],
): unknown {
  const merged = [...base];
  const laid = new Set<string | undefined>();
  for (const element of overlay) {
    const key = elementKey(element);
    const place = base.findIndex((candidate) => elementKey(candidate) === key);
    if (place < 0 || laid.has(key)) merged.push(layOverlay(undefined, element));
    else merged[place] = layOverlay(base[place], element);
    laid.add(key);
  }
  return merged;
}
