/**
 * An idempotency key bound to one daemon incarnation, `@incarnation/rest`.
 * Only that incarnation ever runs a request with this key, so the request needs
 * no claim in the table and can run during outages of the store.
 */
export interface BoundKey {
  readonly incarnation: string;
  readonly rest: string;
}

/** Parses a bound key; returns undefined for a free key, bound to no daemon. */
export function parseBoundKey(key: string): BoundKey | undefined {
  if (!key.startsWith("@")) return undefined;
  const slash = key.indexOf("/");
  if (slash < 0) return undefined;
  return { incarnation: key.slice(1, slash), rest: key.slice(slash + 1) };
}

/** Formats a bound key as `@incarnation/rest`. */
export function formatBoundKey(key: BoundKey): string {
  return `@${key.incarnation}/${key.rest}`;
}
