/** A member of a group, such as a version of a service, as kept in the store. */
export interface RecordedMember {
  readonly name: string;
  /**
   * When it left, by the store's clock, milliseconds; null while it is present
   * as far as is known.
   */
  readonly leftAt: number | null;
}

/** A member of a group as one daemon has seen it. */
export interface SeenMember {
  readonly name: string;
  /** Time since it left, milliseconds; undefined while it is present. */
  readonly leftMilliseconds: number | undefined;
}

/** Options of `mergeMembers`. */
export interface MergeMembersOptions {
  readonly recorded: readonly RecordedMember[];
  readonly seen: readonly SeenMember[];
  /** The store's clock, milliseconds. */
  readonly now: number;
  /** How long a member is kept after it left, milliseconds. */
  readonly keptMilliseconds: number;
}

/**
 * Merges what a daemon has seen into a group's record; undefined if the record
 * stays as it is. A recorded member that the daemon hasn't seen is kept, since
 * its view may lag behind another daemon's.
 */
export function mergeMembers(
  { recorded, seen, now, keptMilliseconds }: MergeMembersOptions,
): readonly RecordedMember[] | undefined {
  const merged = new Map(recorded.map(({ name, leftAt }) => [name, leftAt]));
  for (const { name, leftMilliseconds } of seen) {
    if (leftMilliseconds === undefined) merged.set(name, null);
    else if ((merged.get(name) ?? null) === null) {
      merged.set(name, now - leftMilliseconds);
    }
  }
  for (const [name, leftAt] of merged) {
    if (leftAt !== null && leftAt + keptMilliseconds < now) {
      merged.delete(name);
    }
  }
  const isSame = merged.size === recorded.length &&
    recorded.every(({ name, leftAt }) => merged.get(name) === leftAt);
  if (isSame) return undefined;
  return [...merged].map(([name, leftAt]) => ({ name, leftAt }));
}
