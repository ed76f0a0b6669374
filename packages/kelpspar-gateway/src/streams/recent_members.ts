import type { RecordedMember, SeenMember } from "kelpspar-decisions/history";
import type { TimerService } from "kelpspar-shared";

/** Longer than callers wait for a stream, over all of their attempts. */
export const STREAM_LIFETIME_MILLISECONDS = 60_000;

/** Options of `RecentMembers`. */
export interface RecentMembersOptions {
  readonly timer: TimerService;
  /** Called when a group has a member that it didn't have recently. */
  readonly onNewMember: (group: string) => void;
  /** Called when a member comes or goes, as far as this daemon sees it. */
  readonly onChange: () => void;
}

/** A group's record in the store. */
export interface RecordedGroup {
  readonly group: string;
  readonly members: readonly RecordedMember[];
  /** The store's clock when it was read, milliseconds. */
  readonly clockMilliseconds: number;
}

interface KnownMember {
  /** How often it is present, such as endpoints of a version. */
  count: number;
  /** When it left, monotonic milliseconds. */
  leftAt: number;
}

/**
 * Members that groups had within the lifetime of a stream, such as software
 * versions of a service: any of them may have begun a stream that a caller
 * resumes now.
 */
export class RecentMembers {
  readonly #options: RecentMembersOptions;
  readonly #groups = new Map<string, Map<string, KnownMember>>();
  readonly #recordedGroups = new Set<string>();
  readonly #startedAt: number;

  constructor(options: RecentMembersOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
  }

  /**
   * True if this daemon knows all members of that time: it ran all the while, or
   * the store had a record of each of the groups.
   */
  isComplete(groups: readonly string[]): boolean {
    const age = this.#options.timer.now() - this.#startedAt;
    return age >= STREAM_LIFETIME_MILLISECONDS ||
      groups.every((group) => this.#recordedGroups.has(group));
  }

  /** Members that are present or left recently. */
  recent(group: string): readonly string[] {
    return [...this.#groups.get(group) ?? []]
      .filter(([, known]) => this.#isRecent(known))
      .map(([name]) => name);
  }

  /** All known members, for the store's record. */
  seen(group: string): readonly SeenMember[] {
    const now = this.#options.timer.now();
    return [...this.#groups.get(group) ?? []].map((
      [name, { count, leftAt }],
    ) => ({ name, leftMilliseconds: count > 0 ? undefined : now - leftAt }));
  }

  /** Adds what the store has on record; members may have left meanwhile. */
  recall({ group, members, clockMilliseconds }: RecordedGroup): void {
    this.#recordedGroups.add(group);
    const now = this.#options.timer.now();
    for (const { name, leftAt } of members) {
      const age = leftAt === null ? 0 : clockMilliseconds - leftAt;
      const known = this.#groups.get(group)?.get(name);
      if (known === undefined) {
        this.#setLeft(group, { name, leftAt: now - age });
      } else if (leftAt !== null) {
        known.leftAt = Math.max(known.leftAt, now - age);
      }
    }
  }

  /** Records that a member is present once more. */
  add(group: string, name: string): void {
    const members = this.#membersOf(group);
    const known = members.get(name);
    const isNew = known === undefined || !this.#isRecent(known);
    const count = (known?.count ?? 0) + 1;
    members.set(name, { count, leftAt: Number.NEGATIVE_INFINITY });
    if (isNew) this.#options.onNewMember(group);
    if (count === 1) this.#options.onChange();
  }

  /** Records that a member is present once less. */
  remove(group: string, name: string): void {
    const known = this.#groups.get(group)?.get(name);
    if (known === undefined) return;
    known.count--;
    known.leftAt = this.#options.timer.now();
    if (known.count === 0) this.#options.onChange();
  }

  /** Records a member that is about to leave and wasn't known. */
  addLeaving(group: string, name: string): void {
    if ((this.#groups.get(group)?.get(name)?.count ?? 0) > 0) return;
    this.#setLeft(group, { name, leftAt: this.#options.timer.now() });
    this.#options.onChange();
  }

  #setLeft(
    group: string,
    { name, leftAt }: { readonly name: string; readonly leftAt: number },
  ): void {
    const members = this.#membersOf(group);
    const known = members.get(name);
    const isNew = known === undefined || !this.#isRecent(known);
    const added: KnownMember = { count: 0, leftAt };
    if (!this.#isRecent(added)) return;
    members.set(name, added);
    if (isNew) this.#options.onNewMember(group);
  }

  #membersOf(group: string): Map<string, KnownMember> {
    const known = this.#groups.get(group);
    if (known !== undefined) return known;
    const members = new Map<string, KnownMember>();
    this.#groups.set(group, members);
    return members;
  }

  #isRecent({ count, leftAt }: KnownMember): boolean {
    const now = this.#options.timer.now();
    return count > 0 || now - leftAt < STREAM_LIFETIME_MILLISECONDS;
  }
}
