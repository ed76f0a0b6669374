import type { DaemonAddress, FleetDigest } from "./fleet_digest.ts";
import type { DaemonKey, PackedHeartbeat } from "./packed_heartbeats.ts";
import type { ReaderCandidate } from "../tables/reading_plan.ts";
import type { FleetView } from "./fleet_view.ts";
import type { Member, MemberRecord, OwnState } from "./member_record.ts";
import type { SilenceLimits } from "./heartbeat_timeouts.ts";
import { createFleetView, rankTrusted } from "./fleet_view.ts";
import { createRecord } from "./member_record.ts";
import {
  daemonKey,
  isLaterSequence,
  lackingHeartbeats,
  packedLife,
  packHeartbeats,
  unpackHeartbeats,
} from "./packed_heartbeats.ts";
import { silenceLimits } from "./heartbeat_timeouts.ts";

/** Who this daemon is. */
export interface FleetMembershipOptions {
  readonly self: DaemonAddress;
  readonly incarnation: string;
}

/** Silence after which a daemon is forgotten, milliseconds. */
const FORGOTTEN_AFTER_MILLISECONDS = 60_000;
/** A gap between sweeps of this length means that this daemon stood still. */
const PAUSE_MILLISECONDS = 900;
/** A heartbeat of a daemon whose address isn't known yet. */
interface UnresolvedHeartbeat {
  readonly heartbeat: PackedHeartbeat;
  readonly heardAt: number;
}

/** How long a heartbeat waits for its daemon's address, milliseconds. */
const UNRESOLVED_MILLISECONDS = 3_000;
/** A view may be so old while nothing that it holds changed, milliseconds. */
const VIEW_MILLISECONDS = 50;
/** A daemon that was learned of so lately may be heard any moment, ms. */
const HOPEFUL_MILLISECONDS = 3_000;

/**
 * Which daemons live. Addresses come from seeds, the store and other daemons;
 * life comes from heartbeats alone, which daemons pass on to each other, so
 * that each needs to speak to a few others only.
 *
 * What goes wrong: a daemon that stood still finds all others silent when it
 * wakes and names only itself to callers. A gap between sweeps shows that, and
 * silence counts anew from there.
 */
export class FleetMembership {
  readonly #options: FleetMembershipOptions;
  readonly #records = new Map<string, MemberRecord>();
  readonly #byKey = new Map<DaemonKey, MemberRecord>();
  readonly #unresolved = new Map<DaemonKey, UnresolvedHeartbeat>();
  readonly #ownKey: DaemonKey;
  #view: FleetView | undefined;
  #silenceCountsFrom = 0;
  #sweptAt: number | undefined;
  #sequence = 0;

  constructor(options: FleetMembershipOptions) {
    this.#options = options;
    this.#ownKey = daemonKey(options.self.daemonId);
  }

  /** Takes in where a daemon may be. */
  learn(address: DaemonAddress, now: number): void {
    const { daemonId } = address;
    if (daemonId === this.#options.self.daemonId) return;
    const known = this.#records.get(daemonId);
    if (known !== undefined) {
      known.address = address;
      return;
    }
    const record = createRecord(address, now);
    this.#records.set(daemonId, record);
    this.#byKey.set(record.key, record);
    this.#view = undefined;
    const unresolved = this.#unresolved.get(record.key);
    if (unresolved === undefined) return;
    this.#unresolved.delete(record.key);
    this.#takeHeartbeat(record, unresolved.heartbeat, {
      isOwn: false,
      now: unresolved.heardAt,
    });
  }

  /** Takes in a digest that a daemon sent itself. */
  heard(digest: FleetDigest, now: number): void {
    this.learn(digest.self, now);
    const sender = this.#records.get(digest.self.daemonId);
    for (const heartbeat of unpackHeartbeats(digest.heartbeats)) {
      const { key } = heartbeat;
      if (key === this.#ownKey) continue;
      const record = this.#byKey.get(key);
      if (record === undefined) {
        this.#unresolved.set(key, { heartbeat, heardAt: now });
      } else {
        const isOwn = record === sender;
        this.#takeHeartbeat(record, heartbeat, { isOwn, now });
      }
    }
  }

  /** Daemons that are heard of, but not where they are. */
  get hasUnknownAddresses(): boolean {
    return this.#unresolved.size > 0;
  }

  /**
   * Takes in that a call to a daemon failed: until it is heard again it runs
   * no stages, and gets no callers if nothing listens there any more.
   */
  doubt(
    peer: string,
    options: { readonly isRefused: boolean; readonly now: number },
  ): void {
    for (const record of this.#records.values()) {
      if (record.address.peer !== peer) continue;
      this.#view = undefined;
      record.doubtedAt = options.now;
      if (options.isRefused) record.heardAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Forgets the long dead; call it a few times a second. */
  sweep(now: number): void {
    const gap = now - (this.#sweptAt ?? now);
    if (gap > PAUSE_MILLISECONDS) this.#countSilenceFrom(now);
    this.#sweptAt = now;
    for (const [id, record] of this.#records) {
      const since = Math.max(record.heardAt, record.knownSince);
      if (now - since <= FORGOTTEN_AFTER_MILLISECONDS) continue;
      this.#records.delete(id);
      this.#byKey.delete(record.key);
      this.#view = undefined;
    }
    for (const [key, { heardAt }] of this.#unresolved) {
      if (now - heardAt > UNRESOLVED_MILLISECONDS) this.#unresolved.delete(key);
    }
  }

  /** Every daemon there may be, for digests. */
  contacts(): readonly DaemonAddress[] {
    return [...this.#records.values()].map(({ address }) => address);
  }

  /** Other daemons that there may be, those without a known address too. */
  get size(): number {
    return this.#records.size + this.#unresolved.size;
  }

  /** Daemons heard from lately, leaving ones too. */
  heardLately(now: number): readonly Member[] {
    return this.#viewAt(now).heard;
  }

  /**
   * Daemons that are worth an exchange: heard lately or never heard yet, and no
   * call to them has failed since. Among those that are heard alone, daemons
   * that start together stay in pairs that know of each other only.
   */
  promising(now: number): readonly DaemonAddress[] {
    const { silent } = this.#limits();
    return [...this.#records.values()].flatMap((record) => {
      const { address, heartbeat, heardAt, doubtedAt } = record;
      if (doubtedAt > heardAt) return [];
      const since = Math.max(heardAt, this.#silenceCountsFrom);
      return heartbeat === undefined || now - since <= silent ? [address] : [];
    });
  }

  /** Daemons that callers may use, this one left out. */
  serving(now: number): readonly DaemonAddress[] {
    return this.heardLately(now)
      .filter(({ heartbeat }) => !heartbeat.isLeaving && heartbeat.isReady)
      .map(({ address }) => address);
  }

  /**
   * Other daemons that may read the store's tables for this one. Those that
   * were learned of just now count as heard: when all start at once nobody has
   * been heard, and each would read for itself.
   */
  readerCandidates(now: number): readonly ReaderCandidate[] {
    const heard = this.heardLately(now)
      .filter(({ heartbeat }) => !heartbeat.isLeaving)
      .map(({ address, heartbeat }) => ({
        address,
        isStoreFresh: heartbeat.isStoreFresh && heartbeat.isReady,
      }));
    const hopeful = [...this.#records.values()].flatMap((record) => {
      const { address, heartbeat, doubtedAt, knownSince } = record;
      const isHopeful = heartbeat === undefined &&
        doubtedAt === Number.NEGATIVE_INFINITY &&
        now - knownSince <= HOPEFUL_MILLISECONDS;
      return isHopeful ? [{ address, isStoreFresh: true }] : [];
    });
    return [...heard, ...hopeful];
  }

  /** Whether a daemon may not be waited for any more. */
  isStalled(daemonId: string, now: number): boolean {
    if (daemonId === this.#options.self.daemonId) return false;
    return !this.#viewAt(now).trustedIds.has(daemonId);
  }

  /** Since a daemon's heartbeat last moved on, milliseconds. */
  silenceOf(daemonId: string, now: number): number {
    const record = this.#records.get(daemonId);
    return record === undefined ? Number.POSITIVE_INFINITY : now -
      Math.max(record.heardAt, this.#silenceCountsFrom);
  }

  /**
   * Daemons that may run a key's stages, best first, this one among them.
   * Those that the store turned away come last: their list of endpoints is
   * old. Among the others those with most processor share come first, since
   * one of them does this work for all.
   */
  ranked(
    key: string,
    options: { readonly own: OwnState; readonly now: number },
  ): readonly string[] {
    const view = this.#viewAt(options.now);
    const isStoreFresh = options.own.isStoreFresh && !options.own.isLeaving;
    const name = `${isStoreFresh} ${key}`;
    const ranking = view.rankings.get(name) ??
      rankTrusted(key, { self: this.#options.self, isStoreFresh, view });
    view.rankings.set(name, ranking);
    return ranking;
  }

  find(daemonId: string): DaemonAddress | undefined {
    return this.#records.get(daemonId)?.address;
  }

  /** Moves this daemon's own heartbeat on. */
  beat(): void {
    this.#sequence++;
  }

  /**
   * This daemon's digest now; without what `asker` has already if it answers
   * one.
   */
  createDigest(
    own: OwnState,
    options: {
      readonly configurationVersion: number;
      readonly storeEra: number | undefined;
      readonly crashChecksum?: number | undefined;
      readonly noticeChecksum?: number | undefined;
      readonly now: number;
      readonly asker?: FleetDigest;
    },
  ): FleetDigest {
    const { self, incarnation } = this.#options;
    const heartbeat = {
      key: this.#ownKey,
      incarnation: packedLife(incarnation),
      sequence: this.#sequence,
      ...own,
    };
    const known = this.#heartbeatsHeard(options.now);
    const lacking = options.asker === undefined
      ? known
      : lackingHeartbeats(known, options.asker.heartbeats);
    return {
      self,
      configurationVersion: options.configurationVersion,
      storeEra: options.storeEra,
      crashChecksum: options.crashChecksum,
      noticeChecksum: options.noticeChecksum,
      heartbeats: packHeartbeats([heartbeat, ...lacking]),
    };
  }

  #heartbeatsHeard(now: number): readonly PackedHeartbeat[] {
    return this.heardLately(now).flatMap(({ address }) =>
      this.#records.get(address.daemonId)?.heartbeat ?? []
    );
  }

  #takeHeartbeat(
    record: MemberRecord,
    heartbeat: PackedHeartbeat,
    options: { readonly isOwn: boolean; readonly now: number },
  ): void {
    const { incarnation, sequence } = heartbeat;
    if (record.retired.has(incarnation)) return;
    const known = record.heartbeat;
    const isSameLife = known?.incarnation === incarnation;
    if (isSameLife && !isLaterSequence(sequence, known.sequence)) {
      // What a daemon says itself proves its life whatever was heard before.
      if (options.isOwn && known.sequence === sequence) {
        this.#heardNow(record, options.now);
      }
      return;
    }
    // Others may pass on a life that has ended; it is never taken up again.
    if (known !== undefined && !isSameLife) {
      record.retired.add(known.incarnation);
    }
    if (!isSameLife || !isSameState(known, heartbeat)) this.#view = undefined;
    record.heartbeat = heartbeat;
    this.#heardNow(record, options.now);
  }

  #heardNow(record: MemberRecord, now: number): void {
    const { stalled } = this.#limits();
    // A view that left it out is void.
    const wasSilent = now - record.heardAt > stalled ||
      record.doubtedAt > record.heardAt;
    if (wasSilent) this.#view = undefined;
    record.heardAt = now;
  }

  #countSilenceFrom(now: number): void {
    this.#silenceCountsFrom = now;
    this.#view = undefined;
  }

  #limits(): SilenceLimits {
    return silenceLimits(this.#records.size + 1);
  }

  #viewAt(now: number): FleetView {
    const known = this.#view;
    const isCurrent = known !== undefined && now >= known.at &&
      now - known.at < VIEW_MILLISECONDS;
    if (isCurrent) return known;
    const view = createFleetView({
      records: this.#records.values(),
      limits: this.#limits(),
      silenceCountsFrom: this.#silenceCountsFrom,
      now,
    });
    this.#view = view;
    return view;
  }
}

function isSameState(known: OwnState, told: OwnState): boolean {
  return known.isLeaving === told.isLeaving && known.isReady === told.isReady &&
    known.isStoreFresh === told.isStoreFresh;
}
