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
const DEFAULT_FEW_DAEMONS = 16;
const DEFAULT_TARGETS_PER_FAR_ZONE = 2;
const FORGET_AFTER_MILLISECONDS = 600_000;

/** Who this daemon is and what it makes of silence. */
export interface DaemonMembershipOptions extends Partial<SilenceLimits> {
  readonly daemonId: string;
  readonly availabilityZone: string;
  /** Time between sweeps that shows that this daemon was paused; 2,000 ms. */
  readonly pauseMilliseconds?: number;
  /** Up to so many daemons everybody sends to everybody; default 16. */
  readonly fewDaemons?: number;
  /** Daemons of each other zone that get digests beyond that; default 2. */
  readonly targetsPerFarZone?: number;
}

/**
 * Which other daemons there are. The VM list names them, late; digests over the
 * peer port show which of them work. Times are monotonic milliseconds.
 *
 * What goes wrong: a daemon that was paused finds everybody silent when it
 * wakes, suspects the whole fleet and sends every caller to itself. A gap
 * between sweeps shows the pause, and silence counts anew from there.
 */
export class DaemonMembership {
  readonly #options: Required<DaemonMembershipOptions>;
  readonly #leaving = new LeavingTracker();
  readonly #records = new Map<string, MemberRecord>();
  #silenceCountsFrom = Number.NEGATIVE_INFINITY;
  #rebuiltAt: number | undefined;
  #members: readonly Member[] = [];

  constructor(options: DaemonMembershipOptions) {
    this.#options = {
      suspectAfterMilliseconds: DEFAULT_SUSPECT_AFTER_MILLISECONDS,
      goneAfterMilliseconds: DEFAULT_GONE_AFTER_MILLISECONDS,
      pauseMilliseconds: DEFAULT_PAUSE_MILLISECONDS,
      fewDaemons: DEFAULT_FEW_DAEMONS,
      targetsPerFarZone: DEFAULT_TARGETS_PER_FAR_ZONE,
      ...options,
    };
  }

  /** The other daemons as of the last event, sorted by id. */
  get members(): readonly Member[] {
    return this.#members;
  }

  /** Takes in a whole VM list. */
  replaceList(rows: readonly ListedDaemon[], now: number): void {
    const listed = new Set<string>();
    for (const row of rows) {
      if (row.daemonId === this.#options.daemonId) continue;
      listed.add(row.daemonId);
      this.#list(row, now);
    }
    for (const record of this.#records.values()) {
      if (!record.isListed || listed.has(record.daemonId)) continue;
      record.isListed = false;
      record.listChangedAt = now;
    }
    this.#rebuild(now);
  }

  /** Takes in a digest; false when it is older than what is known. */
  heard(digest: DaemonDigest, now: number): boolean {
    const { daemonId, incarnation } = digest;
    if (daemonId === this.#options.daemonId) return false;
    const sighting = this.#leaving.reported({
      id: daemonId,
      incarnation,
      leaving: digest.state === "leaving",
      direct: true,
    });
    if (sighting === "retired") return false;
    const record = this.#recordOf(daemonId, now);
    const isRepeated = record.digest?.incarnation === incarnation &&
      record.digest.sequence >= digest.sequence;
    if (isRepeated) return false;
    const isNews = record.digest?.incarnation !== incarnation ||
      record.digest.state !== digest.state;
    record.digest = digest;
    record.heardAt = now;
    if (isNews) this.#rebuild(now);
    return true;
  }

  /** Judges silence; call it a few times a second. */
  sweep(now: number): void {
    this.#rebuild(now);
  }

  /**
   * Who gets this daemon's digests: everybody while there are few; beyond that
   * the own zone and a few of each other one, so that traffic grows with a zone
   * and not with the fleet.
   */
  digestTargets(): readonly Member[] {
    const present = this.#members.filter((one) => one.state !== "gone");
    if (this.#areFew()) return present;
    const byZone = new Map<string, Member[]>();
    for (const member of present) {
      const zone = byZone.get(member.availabilityZone);
      if (zone === undefined) byZone.set(member.availabilityZone, [member]);
      else zone.push(member);
    }
    return [...byZone].flatMap(([zone, members]) =>
      zone === this.#options.availabilityZone
        ? members
        : this.#targetsAmong(members)
    );
  }

  #targetsAmong(members: readonly Member[]): readonly Member[] {
    const { daemonId, targetsPerFarZone } = this.#options;
    const nodes = new RendezvousNodes(members.map((one) => one.daemonId));
    const best = nodes.best(daemonId, targetsPerFarZone);
    return members.filter((one) => best.includes(one.daemonId));
  }

  #list(row: ListedDaemon, now: number): void {
    const { daemonId, incarnation, state } = row;
    const sighting = this.#leaving.listed({ id: daemonId, incarnation, state });
    const record = this.#recordOf(daemonId, now);
    if (sighting === "retired") return;
    if (sighting === "renewed") record.renew(now);
    if (!record.isListed) record.listChangedAt = now;
    record.isListed = true;
    record.row = row;
  }

  #recordOf(daemonId: string, now: number): MemberRecord {
    const known = this.#records.get(daemonId);
    if (known !== undefined) return known;
    const record = new MemberRecord(daemonId, now);
    this.#records.set(daemonId, record);
    return record;
  }

  #areFew(): boolean {
    return this.#records.size < this.#options.fewDaemons;
  }

  #rebuild(now: number): void {
    const gap = now - (this.#rebuiltAt ?? now);
    if (gap > this.#options.pauseMilliseconds) this.#silenceCountsFrom = now;
    this.#rebuiltAt = now;
    const members: Member[] = [];
    for (const record of this.#records.values()) {
      const state = record.stateAt(this.#contextOf(record, now));
      if (this.#isForgotten(record, { isGone: state === "gone", now })) {
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
      isHeardRegularly: this.#areFew() ||
        zone === this.#options.availabilityZone,
      silenceCountsFrom: this.#silenceCountsFrom,
    };
  }

  #isForgotten(
    record: MemberRecord,
    options: { readonly isGone: boolean; readonly now: number },
  ): boolean {
    if (!options.isGone) {
      record.goneSince = undefined;
      return false;
    }
    record.goneSince ??= options.now;
    return !record.isListed &&
      options.now - record.goneSince > FORGET_AFTER_MILLISECONDS;
  }
}
