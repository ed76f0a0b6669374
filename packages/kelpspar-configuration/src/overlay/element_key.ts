const KEY_FIELDS = ["id", "account"] as const;

/** True for a JSON object, as against a list, a scalar or null. */
export function isObject(
  value: unknown,
): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** The field that an element of a list is known by. */
export function keyField(
  element: unknown,
): typeof KEY_FIELDS[number] | undefined {
  if (!isObject(element)) return undefined;
  return KEY_FIELDS.find((field) =>
    Object.hasOwn(element, field) && typeof element[field] === "string"
  );
}

/** What an element of a list is known by: its `id`, else its `account`. */
export function elementKey(element: unknown): string | undefined {
  const field = keyField(element);
  if (field === undefined || !isObject(element)) return undefined;
  return String(element[field]);
}

/** True for a list, not empty, whose every element has a key. */
export function isKeyedList(value: unknown): value is readonly unknown[] {
  if (!Array.isArray(value) || value.length === 0) return false;
  return value.every((element) => elementKey(element) !== undefined);
}
