import type { DaemonDigest } from "./daemon_digest.ts";
import type { Member } from "./member.ts";
import type {
  ListedDaemon,
  SilenceLimits,
  StateContext,
} from "./member_record.ts";
import { LeavingTracker, RendezvousNodes } from "../routing/mod.ts";
import { MemberRecord } from "./member_record.ts";

const DEFAULT_SUSPECT_AFTER_MILLISECONDS = 4_000;
const DEFAULT_GONE_AFTER_MILLISECONDS = 60_000;
const DEFAULT_PAUSE_MILLISECONDS = 2_000;
const DEFAULT_FULL_MESH_MAXIMUM_DAEMONS = 16;
const DEFAULT_TARGETS_PER_REMOTE_ZONE = 2;
const REMOVE_AFTER_MILLISECONDS = 600_000;

/** Identity of this daemon and its failure detection limits. */
export interface DaemonMembershipOptions extends Partial<SilenceLimits> {
  readonly daemonId: string;
  readonly availabilityZone: string;
  /**
   * A longer gap between sweeps means that this process was paused; default
   * 2,000 milliseconds.
   */
  readonly pauseMilliseconds?: number;
  /**
   * Up to this many daemons, each daemon sends digests to all others; default
   * 16.
   */
  readonly fullMeshMaximumDaemons?: number;
  /**
   * Above that, the number of daemons per remote zone that receive digests;
   * default 2.
   */
  readonly targetsPerRemoteZone?: number;
}

/**
 * Membership view of the other daemons. The VM list provides the members with a
 * lag; digests over the peer port show which of them work. Times are monotonic
 * milliseconds.
 *
 * A daemon that was paused would find all others silent on resume, suspect the
 * whole fleet and send every caller to itself. A gap between sweeps reveals the
 * pause, and silence is then measured from that point.
 */
export class DaemonMembership {
  readonly #options: Required<DaemonMembershipOptions>;
  readonly #leaving = new LeavingTracker();
  readonly #records = new Map<string, MemberRecord>();
  #silenceMeasuredFrom = Number.NEGATIVE_INFINITY;
  #rebuiltAt: number | undefined;
  #members: readonly Member[] = [];

  constructor(options: DaemonMembershipOptions) {
    this.#options = {
      suspectAfterMilliseconds: DEFAULT_SUSPECT_AFTER_MILLISECONDS,
      goneAfterMilliseconds: DEFAULT_GONE_AFTER_MILLISECONDS,
      pauseMilliseconds: DEFAULT_PAUSE_MILLISECONDS,
      fullMeshMaximumDaemons: DEFAULT_FULL_MESH_MAXIMUM_DAEMONS,
      targetsPerRemoteZone: DEFAULT_TARGETS_PER_REMOTE_ZONE,
      ...options,
    };
  }

  /** Other daemons as of the last event, sorted by id. */
  get members(): readonly Member[] {
    return this.#members;
  }

  /** Applies a complete VM list. */
  replaceList(rows: readonly ListedDaemon[], now: number): void {
    const listed = new Set<string>();
    for (const row of rows) {
      if (row.daemonId === this.#options.daemonId) continue;
      listed.add(row.daemonId);
      this.#recordListing(row, now);
    }
    for (const record of this.#records.values()) {
      if (!record.isListed || listed.has(record.daemonId)) continue;
      record.isListed = false;
      record.listChangedAt = now;
    }
    this.#rebuild(now);
  }

  /** Applies a digest; returns false if it is older than the current one. */
  receiveDigest(digest: DaemonDigest, now: number): boolean {
    const { daemonId, incarnation } = digest;
    if (daemonId === this.#options.daemonId) return false;
    const outcome = this.#leaving.reported({
      id: daemonId,
      incarnation,
      leaving: digest.state === "leaving",
      direct: true,
    });
    if (outcome === "retired") return false;
    const record = this.#getOrCreateRecord(daemonId, now);
    const isRepeated = record.digest?.incarnation === incarnation &&
      record.digest.sequence >= digest.sequence;
    if (isRepeated) return false;
    const hasChanged = record.digest?.incarnation !== incarnation ||
      record.digest.state !== digest.state;
    record.digest = digest;
    record.digestReceivedAt = now;
    if (hasChanged) this.#rebuild(now);
    return true;
  }

  /** Reevaluates silent daemons; call it a few times per second. */
  sweep(now: number): void {
    this.#rebuild(now);
  }

  /**
   * Recipients of this daemon's digests: all daemons in a small fleet,
   * otherwise the own zone and a few daemons of each other zone, so that
   * traffic grows with the zone and not with the fleet.
   */
  digestTargets(): readonly Member[] {
    const remaining = this.#members.filter((member) => member.state !== "gone");
    if (this.#isFullMesh()) return remaining;
    const byZone = new Map<string, Member[]>();
    for (const member of remaining) {
      const zone = byZone.get(member.availabilityZone);
      if (zone === undefined) byZone.set(member.availabilityZone, [member]);
      else zone.push(member);
    }
    return [...byZone].flatMap(([zone, members]) =>
      zone === this.#options.availabilityZone
        ? members
        : this.#selectTargets(members)
    );
  }

  #selectTargets(members: readonly Member[]): readonly Member[] {
    const { daemonId, targetsPerRemoteZone } = this.#options;
    const nodes = new RendezvousNodes(members.map((member) => member.daemonId));
    const best = nodes.best(daemonId, targetsPerRemoteZone);
    return members.filter((member) => best.includes(member.daemonId));
  }

  #recordListing(row: ListedDaemon, now: number): void {
    const { daemonId, incarnation, state } = row;
    const outcome = this.#leaving.listed({ id: daemonId, incarnation, state });
    const record = this.#getOrCreateRecord(daemonId, now);
    if (outcome === "retired") return;
    if (outcome === "renewed") record.resetIncarnation(now);
    if (!record.isListed) record.listChangedAt = now;
    record.isListed = true;
    record.row = row;
  }

  #getOrCreateRecord(daemonId: string, now: number): MemberRecord {
    const known = this.#records.get(daemonId);
    if (known !== undefined) return known;
    const record = new MemberRecord(daemonId, now);
    this.#records.set(daemonId, record);
    return record;
  }

  #isFullMesh(): boolean {
    return this.#records.size < this.#options.fullMeshMaximumDaemons;
  }

  #rebuild(now: number): void {
    const gap = now - (this.#rebuiltAt ?? now);
    if (gap > this.#options.pauseMilliseconds) this.#silenceMeasuredFrom = now;
    this.#rebuiltAt = now;
    const members: Member[] = [];
    for (const record of this.#records.values()) {
      const state = record.stateAt(this.#contextOf(record, now));
      if (this.#isRemovable(record, { isGone: state === "gone", now })) {
        this.#leaving.unlisted(record.daemonId);
        this.#records.delete(record.daemonId);
        continue;
      }
      const member = record.toMember(state, now);
      if (member !== undefined) members.push(member);
    }
    this.#members = members.sort((left, right) =>
      left.daemonId < right.daemonId ? -1 : 1
    );
  }

  #contextOf(record: MemberRecord, now: number): StateContext {
    const zone = (record.digest ?? record.row)?.availabilityZone;
    return {
      now,
      suspectAfterMilliseconds: this.#options.suspectAfterMilliseconds,
      goneAfterMilliseconds: this.#options.goneAfterMilliseconds,
      isLeaving: this.#leaving.isLeaving(record.daemonId),
      isDigestExpected: this.#isFullMesh() ||
        zone === this.#options.availabilityZone,
      silenceMeasuredFrom: this.#silenceMeasuredFrom,
    };
  }

  #isRemovable(
    record: MemberRecord,
    options: { readonly isGone: boolean; readonly now: number },
  ): boolean {
    if (!options.isGone) {
      record.goneSince = undefined;
      return false;
    }
    record.goneSince ??= options.now;
    return !record.isListed &&
      options.now - record.goneSince > REMOVE_AFTER_MILLISECONDS;
  }
}
