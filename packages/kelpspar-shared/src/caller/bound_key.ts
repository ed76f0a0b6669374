/**
 * An idempotency key bound to one daemon incarnation, `@incarnation/rest`.
 * Only that incarnation ever runs it, so it needs no claim in the table and
 * works through outages of the store.
 */
export interface BoundKey {
  readonly incarnation: string;
  readonly rest: string;
}

/** Reads a bound key; undefined when `key` is a free key. */
export function parseBoundKey(key: string): BoundKey | undefined {
  if (!key.startsWith("@")) return undefined;
  const slash = key.indexOf("/");
  if (slash < 0) return undefined;
  return { incarnation: key.slice(1, slash), rest: key.slice(slash + 1) };
}

/** Writes a bound key. */
export function formatBoundKey(key: BoundKey): string {
  return `@${key.incarnation}/${key.rest}`;
}
