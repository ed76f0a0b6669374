const KEY_FIELDS = ["id", "account"] as const;

/** True for a JSON object, false for a list, a scalar or null. */
export function isObject(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** Returns the field that identifies an element of a list. */
export function keyField(
  element: unknown,
): typeof KEY_FIELDS[number] | undefined {
  if (!isObject(element)) return undefined;
  return KEY_FIELDS.find((field) =>
    Object.hasOwn(element, field) && typeof element[field] === "string"
  );
}

/** Returns the key of an element of a list: its `id`, else its `account`. */
export function elementKey(element: unknown): string | undefined {
  const field = keyField(element);
  if (field === undefined || !isObject(element)) return undefined;
  return String(element[field]);
}

/** True for a non-empty list in which every element has a key. */
export function isKeyedList(value: unknown): value is readonly unknown[] {
  if (!Array.isArray(value) || value.length === 0) return false;
  return value.every((element) => elementKey(element) !== undefined);
}
