const MAXIMUM_SHOWN = 5;

/** Throws an Error that lists the first findings; nothing if there are none. */
export function none(found: readonly string[]): void {
  if (found.length === 0) return;
  const shown = found.slice(0, MAXIMUM_SHOWN).join("; ");
  throw new Error(`${found.length} found: ${shown}`);
}
