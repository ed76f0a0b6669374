/** A statement of a daemon that is superseded by its later statements. */
export interface Sequenced {
  readonly daemonId: string;
  readonly incarnation: string;
  /** Increases with each statement of an incarnation. */
  readonly sequence: number;
}

/** The newest statement of each daemon's incarnation. */
export type NewestStatements<T extends Sequenced> = ReadonlyMap<string, T>;

/** Collects statements, keeping the newest of each daemon's incarnation. */
export function collectNewest<T extends Sequenced>(
  statements: Iterable<T>,
): NewestStatements<T> {
  const newest = new Map<string, T>();
  for (const statement of statements) keepNewer(newest, statement);
  return newest;
}

/**
 * Merges two collections. The operation is associative, commutative and
 * idempotent. Incarnations have no order among themselves, so each has its own
 * entry; readers ignore entries that are not a member's current incarnation.
 */
export function mergeNewest<T extends Sequenced>(
  left: NewestStatements<T>,
  right: NewestStatements<T>,
): NewestStatements<T> {
  const merged = new Map(left);
  for (const statement of right.values()) keepNewer(merged, statement);
  return merged;
}

function keepNewer<T extends Sequenced>(
  newest: Map<string, T>,
  statement: T,
): void {
  const key = `${statement.daemonId}/${statement.incarnation}`;
  const known = newest.get(key);
  if (known !== undefined && known.sequence >= statement.sequence) return;
  newest.set(key, statement);
}
