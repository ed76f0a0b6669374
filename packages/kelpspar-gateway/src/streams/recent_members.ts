import type { RecordedMember, SeenMember } from "kelpspar-decisions/history";
import type { TimerService } from "kelpspar-shared";
import type { StoreClock } from "../tables/store_clock.ts";

/** Longer than callers wait for a stream, over all of their attempts. */
export const STREAM_LIFETIME_MILLISECONDS = 60_000;

/** A list older than this may lack members that another daemon uses, ms. */
const MAXIMUM_LIST_AGE_MILLISECONDS = 2_500;
/** Longer than that and the calls that bring a list, milliseconds. */
const SETTLING_MILLISECONDS = 5_000;
/** Members that are gone for less are recorded as present, milliseconds. */
export const ABSENCE_MILLISECONDS = 3_000;

/** Options of `RecentMembers`. */
export interface RecentMembersOptions {
  /**
   * When the endpoint list was last known to match the store, monotonic
   * milliseconds; minus infinity if never.
   */
  readonly listConfirmedAt: () => number;
  readonly clock: StoreClock;
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
  readonly count: number;
  /** When it left, monotonic milliseconds. */
  readonly leftAt: number;
}

/**
 * Members that groups had within the lifetime of a stream, such as software
 * versions of a service: any of them may have begun a stream that a caller
 * resumes now.
 */
export class RecentMembers {
  readonly #options: RecentMembersOptions;
  readonly #groups = new Map<string, Map<string, KnownMember>>();
  /** Groups that were on record when this daemon started. */
  readonly #recordedGroups = new Set<string>();
  /** When members were recorded, by group and the store's clock. */
  readonly #recordedAt = new Map<string, ReadonlyMap<string, number>>();
  /** When the first member of each group came, monotonic milliseconds. */
  readonly #firstCameAt = new Map<string, number>();

  constructor(options: RecentMembersOptions) {
    this.#options = options;
  }

  /**
   * True if this daemon knows all members of that time: the store had a record
   * of each of the groups, or it has had the list all the while; and its list
   * isn't older than those of others may be.
   */
  isComplete(groups: readonly string[]): boolean {
    const now = this.#options.timer.now();
    return this.hasRecentList && groups.every((group) => {
      const since = this.#firstCameAt.get(group) ?? Number.POSITIVE_INFINITY;
      return this.#recordedGroups.has(group) ||
        now - since >= STREAM_LIFETIME_MILLISECONDS;
    });
  }

  /** True if the list has all members that others may use beside others. */
  get hasRecentList(): boolean {
    const { timer, listConfirmedAt } = this.#options;
    return timer.now() - listConfirmedAt() <= MAXIMUM_LIST_AGE_MILLISECONDS;
  }

  /** True if a member was recorded so long ago that all recent lists have it. */
  isSettled(group: string, name: string): boolean {
    const recordedAt = this.#recordedAt.get(group)?.get(name);
    const clockNow = this.#options.clock.now;
    return recordedAt !== undefined && clockNow !== undefined &&
      clockNow - recordedAt >= SETTLING_MILLISECONDS;
  }

  /** Records that a group was on record when this daemon started. */
  markRecorded(group: string): void {
    this.#recordedGroups.add(group);
  }

  /** Members that are present or left recently. */
  recent(group: string): readonly string[] {
    return [...this.#groups.get(group) ?? []]
      .filter(([, known]) => this.#isRecent(known))
      .map(([name]) => name);
  }

  /**
   * Known members, for the store's record. A member that is missing for a short
   * time may only be missing here.
   */
  seen(group: string): readonly SeenMember[] {
    const { timer, listConfirmedAt } = this.#options;
    const now = timer.now();
    const hasList = Number.isFinite(listConfirmedAt());
    return [...this.#groups.get(group) ?? []]
      .map(([name, { count, leftAt }]) => ({
        name,
        leftMilliseconds: count > 0 ? undefined : now - leftAt,
      }))
      .filter(({ leftMilliseconds }) =>
        leftMilliseconds === undefined ||
        (hasList && leftMilliseconds >= ABSENCE_MILLISECONDS)
      );
  }

  /** Adds what the store has on record; members may have left meanwhile. */
  recall({ group, members, clockMilliseconds }: RecordedGroup): void {
    const now = this.#options.timer.now();
    this.#recordedAt.set(
      group,
      new Map(members.map(({ name, cameAt }) => [name, cameAt])),
    );
    for (const { name, leftAt } of members) {
      const age = leftAt === null ? 0 : clockMilliseconds - leftAt;
      const known = this.#groups.get(group)?.get(name);
      if (known === undefined) {
        this.#setLeft(group, { name, leftAt: now - age });
      } else if (leftAt !== null) {
        const latest = Math.max(known.leftAt, now - age);
        this.#membersOf(group).set(name, { ...known, leftAt: latest });
      }
    }
  }

  /** Records that a member is present once more. */
  add(group: string, name: string): void {
    const members = this.#membersOf(group);
    const known = members.get(name);
    const isNew = known === undefined || !this.#isRecent(known);
    const count = (known?.count ?? 0) + 1;
    const now = this.#options.timer.now();
    if (!this.#firstCameAt.has(group)) this.#firstCameAt.set(group, now);
    members.set(name, { count, leftAt: Number.NEGATIVE_INFINITY });
    if (isNew) this.#options.onNewMember(group);
    if (count === 1) this.#options.onChange();
  }

  /** Records that a member is present once less. */
  remove(group: string, name: string): void {
    const known = this.#groups.get(group)?.get(name);
    if (known === undefined) return;
    const count = known.count - 1;
    const leftAt = this.#options.timer.now();
    this.#membersOf(group).set(name, { ...known, count, leftAt });
    if (count === 0) this.#options.onChange();
  }

  /** Records a member that is known from elsewhere, unless it is present. */
  addAbsent(group: string, name: string): void {
    const known = this.#groups.get(group)?.get(name);
    if (known !== undefined && known.count > 0) return;
    const isNew = known === undefined || !this.#isRecent(known);
    this.#setLeft(group, { name, leftAt: this.#options.timer.now() });
    if (isNew) this.#options.onChange();
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
