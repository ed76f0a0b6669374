/** Freezes a JSON value recursively and returns it. */
export function deepFreeze<Value>(value: Value): Value {
  if (typeof value !== "object" || value === null) return value;
  for (const part of Object.values(value)) deepFreeze(part);
  return Object.freeze(value);
}
