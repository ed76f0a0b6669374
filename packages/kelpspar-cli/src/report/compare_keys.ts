/** Compares lists of names by code units, independently of the locale. */
export function compareKeys(
  left: readonly string[],
  right: readonly string[],
): number {
  for (const [index, name] of left.entries()) {
    const other = right[index] ?? "";
    if (name !== other) return name < other ? -1 : 1;
  }
  return left.length - right.length;
}
