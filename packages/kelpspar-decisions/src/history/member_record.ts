/** A member of a group, such as a version of a service, as kept in the store. */
export interface RecordedMember {
  readonly name: string;
  /** When it was recorded, by the store's clock, milliseconds. */
  readonly cameAt: number;
  /** When it left, by the same clock; null while it is present. */
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
  const merged = new Map(recorded.map((member) => [member.name, member]));
  for (const { name, leftMilliseconds } of seen) {
    const known = merged.get(name);
    const isPresent = known?.leftAt === null;
    if (leftMilliseconds !== undefined) {
      const leftAt = now - leftMilliseconds;
      if (known === undefined) {
        merged.set(name, { name, cameAt: leftAt, leftAt });
      } else if (isPresent) merged.set(name, { ...known, leftAt });
    } else if (!isPresent) {
      merged.set(name, { name, cameAt: now, leftAt: null });
    }
  }
  const kept = [...merged.values()].filter(({ leftAt }) =>
    leftAt === null || leftAt + keptMilliseconds >= now
  );
  const isSame = kept.length === recorded.length &&
    kept.every((member) => recorded.includes(member));
  return isSame ? undefined : kept;
}
