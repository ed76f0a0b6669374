import type { RelayCandidate } from "../relay/choose_relay_peer.ts";
import type { DaemonAddress, FleetDigest } from "./fleet_digest.ts";
import type { DaemonKey, PackedHeartbeat } from "./packed_heartbeats.ts";
import type { ContactState } from "../recovery/choose_coordinator_contacts.ts";
import type { ReaderCandidate } from "../tables/reading_plan.ts";
import type { FleetView } from "./fleet_view.ts";
import type { Member, MemberRecord, OwnState } from "./member_record.ts";
import type { HeartbeatTimeouts } from "./heartbeat_timeouts.ts";
import { coordinationTier } from "./coordination_tier.ts";
import { createFleetView } from "./fleet_view.ts";
import { createMemberRecord } from "./member_record.ts";
import {
  daemonKey,
  isLaterSequence,
  missingHeartbeats,
  packHeartbeats,
  packIncarnation,
  unpackHeartbeats,
} from "./packed_heartbeats.ts";
import { heartbeatTimeouts } from "./heartbeat_timeouts.ts";
import { RankingCache } from "./ranking_cache.ts";

/** Identity of this daemon. */
export interface FleetMembershipOptions {
  readonly self: DaemonAddress;
  readonly incarnation: string;
}

/** A daemon that was told to stop. */
export interface LeavingMember {
  readonly address: DaemonAddress;
  /** When that was first heard; monotonic milliseconds. */
  readonly since: number;
}

/** Silence after which a daemon's record is removed. */
const MEMBER_EXPIRY_MILLISECONDS = 60_000;
/** A longer gap between sweeps means that this process was paused. */
const PROCESS_PAUSE_MILLISECONDS = 900;
/** Heartbeat of a daemon whose address isn't known yet. */
interface UnresolvedHeartbeat {
  readonly heartbeat: PackedHeartbeat;
  readonly seenAt: number;
}

/** How long a heartbeat is kept while its daemon's address is unknown. */
const UNRESOLVED_MILLISECONDS = 3_000;
/** How long a view is reused while nothing in it changes. */
const VIEW_CACHE_MILLISECONDS = 50;
/** How long a daemon without a heartbeat counts as newly discovered. */
const NEW_MEMBER_GRACE_MILLISECONDS = 3_000;

/**
 * Tracks which daemons are live. Addresses come from seeds, the store and other
 * daemons. Liveness comes only from heartbeats, which daemons forward to each
 * other, so that each needs to contact only a few others.
 *
 * A daemon whose process was paused would find all others silent when it
 * resumes and would name only itself to callers. A gap between sweeps reveals
 * the pause, and silence is then counted from its end.
 */
export class FleetMembership {
  readonly #options: FleetMembershipOptions;
  readonly #records = new Map<string, MemberRecord>();
  readonly #recordsByKey = new Map<DaemonKey, MemberRecord>();
  readonly #unresolved = new Map<DaemonKey, UnresolvedHeartbeat>();
  readonly #ownKey: DaemonKey;
  readonly #pauseListeners = new Set<() => void>();
  readonly #rankings = new RankingCache();
  #view: FleetView | undefined;
  #silenceCountsFrom = 0;
  #sweptAt: number | undefined;
  #sequence = 0;

  constructor(options: FleetMembershipOptions) {
    this.#options = options;
    this.#ownKey = daemonKey(options.self.daemonId);
  }

  /** Calls `listener` after a pause of this process; returns the teardown. */
  registerPauseListener(listener: () => void): () => void {
    this.#pauseListeners.add(listener);
    return () => this.#pauseListeners.delete(listener);
  }

  /** Adds or updates the address of a daemon. */
  add(address: DaemonAddress, now: number): void {
    const { daemonId } = address;
    if (daemonId === this.#options.self.daemonId) return;
    const known = this.#records.get(daemonId);
    if (known !== undefined) {
      // Rankings are reused while the addresses are the same objects.
      if (!isSameAddress(known.address, address)) known.address = address;
      return;
    }
    const record = createMemberRecord(address, now);
    this.#records.set(daemonId, record);
    this.#recordsByKey.set(record.key, record);
    this.#view = undefined;
    const unresolved = this.#unresolved.get(record.key);
    if (unresolved === undefined) return;
    this.#unresolved.delete(record.key);
    this.#applyHeartbeat(record, unresolved.heartbeat, {
      isOwn: false,
      now: unresolved.seenAt,
    });
  }

  /** Applies a digest that its daemon sent directly. */
  applyDigest(digest: FleetDigest, now: number): void {
    this.add(digest.self, now);
    const sender = this.#records.get(digest.self.daemonId);
    for (const heartbeat of unpackHeartbeats(digest.heartbeats)) {
      const { key } = heartbeat;
      if (key === this.#ownKey) continue;
      const record = this.#recordsByKey.get(key);
      if (record === undefined) {
        this.#unresolved.set(key, { heartbeat, seenAt: now });
      } else {
        const isOwn = record === sender;
        this.#applyHeartbeat(record, heartbeat, { isOwn, now });
      }
    }
  }

  /** True while there are heartbeats of daemons without a known address. */
  get hasUnknownAddresses(): boolean {
    return this.#unresolved.size > 0;
  }

  /**
   * Records a failed call to a daemon. Until its next heartbeat the daemon runs
   * no stages; if the connection was refused, it isn't offered to callers
   * either.
   */
  reportFailedCall(
    peer: string,
    options: { readonly isRefused: boolean; readonly now: number },
  ): void {
    for (const record of this.#records.values()) {
      if (record.address.peer !== peer) continue;
      this.#view = undefined;
      record.suspectedAt = options.now;
      if (options.isRefused) record.lastHeartbeatAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Removes expired records; to be called a few times a second. */
  removeExpired(now: number): void {
    const gap = now - (this.#sweptAt ?? now);
    if (gap > PROCESS_PAUSE_MILLISECONDS) this.#countSilenceFrom(now);
    this.#sweptAt = now;
    for (const [id, record] of this.#records) {
      const since = Math.max(record.lastHeartbeatAt, record.knownSince);
      if (now - since <= MEMBER_EXPIRY_MILLISECONDS) continue;
      this.#records.delete(id);
      this.#recordsByKey.delete(record.key);
      this.#view = undefined;
    }
    for (const [key, { seenAt }] of this.#unresolved) {
      if (now - seenAt > UNRESOLVED_MILLISECONDS) this.#unresolved.delete(key);
    }
  }

  /** Addresses of all known daemons, reachable or not. */
  contacts(): readonly DaemonAddress[] {
    return [...this.#records.values()].map(({ address }) => address);
  }

  /** Number of other known daemons, including those without an address. */
  get size(): number {
    return this.#records.size + this.#unresolved.size;
  }

  /** Daemons with a recent heartbeat, including leaving ones. */
  liveMembers(now: number): readonly Member[] {
    return this.#viewAt(now).liveMembers;
  }

  /**
   * Daemons worth an exchange: live or without any heartbeat yet, and without a
   * failed call since. If only live daemons qualified, daemons that start
   * together would remain in pairs that know only each other.
   */
  likelyReachable(now: number): readonly DaemonAddress[] {
    const { silent } = this.#timeouts();
    return [...this.#records.values()].flatMap((record) => {
      const { address, heartbeat, lastHeartbeatAt, suspectedAt } = record;
      if (suspectedAt > lastHeartbeatAt) return [];
      const since = Math.max(lastHeartbeatAt, this.#silenceCountsFrom);
      return heartbeat === undefined || now - since <= silent ? [address] : [];
    });
  }

  /** Other daemons that may serve requests for this one. */
  relayCandidates(now: number): readonly RelayCandidate[] {
    return this.#viewAt(now).trustedMembers
      .filter(({ heartbeat }) => heartbeat.isReady && !heartbeat.isIsolated)
      .map(({ address, heartbeat: { isLeaving } }) => ({ address, isLeaving }));
  }

  /** Other daemons that callers may use. */
  serving(now: number): readonly DaemonAddress[] {
    return this.liveMembers(now)
      .filter(({ heartbeat }) => !heartbeat.isLeaving && heartbeat.isReady)
      .map(({ address }) => address);
  }

  /** Other daemons that were told to stop and still run. */
  leaving(now: number): readonly LeavingMember[] {
    return this.liveMembers(now)
      .filter(({ heartbeat }) => heartbeat.isLeaving && heartbeat.isReady)
      .map(({ address }) => ({
        address,
        since: this.#records.get(address.daemonId)?.leavingSince ?? now,
      }));
  }

  /** Whether another daemon runs that has no configuration yet. */
  hasStarting(now: number): boolean {
    return this.liveMembers(now).some(({ heartbeat }) =>
      !heartbeat.isLeaving && !heartbeat.isReady
    );
  }

  /**
   * Other daemons that may read the store's tables for this one. Newly
   * discovered daemons count as live: when all daemons start at once, none has
   * a heartbeat from another, and each would read the tables itself.
   */
  readerCandidates(now: number): readonly ReaderCandidate[] {
    const live = this.liveMembers(now)
      .filter(({ heartbeat }) => !heartbeat.isLeaving)
      .map(({ address, heartbeat }) => ({
        address,
        isStoreFresh: heartbeat.isStoreFresh && heartbeat.isReady,
      }));
    const discovered = [...this.#records.values()].flatMap((record) => {
      const { address, heartbeat, suspectedAt, knownSince } = record;
      const isNew = heartbeat === undefined &&
        suspectedAt === Number.NEGATIVE_INFINITY &&
        now - knownSince <= NEW_MEMBER_GRACE_MILLISECONDS;
      return isNew ? [{ address, isStoreFresh: true }] : [];
    });
    return [...live, ...discovered];
  }

  /** Whether to stop waiting for a daemon. */
  isStalled(daemonId: string, now: number): boolean {
    if (daemonId === this.#options.self.daemonId) return false;
    return !this.#viewAt(now).trustedIds.has(daemonId);
  }

  /** Time since a daemon's last new heartbeat, milliseconds. */
  silenceMillisecondsOf(daemonId: string, now: number): number {
    const record = this.#records.get(daemonId);
    return record === undefined ? Number.POSITIVE_INFINITY : now -
      Math.max(record.lastHeartbeatAt, this.#silenceCountsFrom);
  }

  /**
   * Daemons that may run a key's stages, best first, including this one. Those
   * without a fresh store come after the others, because their endpoint list is
   * stale, and isolated ones last.
   * Among the others those with the most cores come first, because one of them
   * does this work for all.
   */
  rankedDaemons(
    key: string,
    options: { readonly own: OwnState; readonly now: number },
  ): readonly string[] {
    const view = this.#viewAt(options.now);
    const { isStoreFresh, isLeaving, isIsolated } = options.own;
    const own = { isStoreFresh: isStoreFresh && !isLeaving, isIsolated };
    const name = `${coordinationTier(own)} ${key}`;
    const known = view.rankings.get(name);
    if (known !== undefined) return known;
    const ranking = this.#rankings.rank(key, {
      self: this.#options.self,
      own,
      view,
    });
    view.rankings.set(name, ranking);
    return ranking;
  }

  /** Whether a daemon reported that it reaches no endpoint. */
  isIsolated(daemonId: string): boolean {
    return this.#records.get(daemonId)?.heartbeat?.isIsolated === true;
  }

  /** Whether all other live daemons are isolated; false without any. */
  hasOnlyIsolated(now: number): boolean {
    const members = this.liveMembers(now);
    return members.length > 0 &&
      members.every(({ heartbeat }) => heartbeat.isIsolated);
  }

  /**
   * Whether this daemon's id is the lowest of those that serve and reach
   * endpoints, so that one daemon acts for the fleet. Others that don't hear of
   * each other may act as well.
   */
  isFirstServing(now: number): boolean {
    const { daemonId } = this.#options.self;
    return this.relayCandidates(now).every(({ address, isLeaving }) =>
      isLeaving || daemonId < address.daemonId
    );
  }

  /** Whether a daemon runs, but has no configuration yet as far as is known. */
  isStarting(daemonId: string): boolean {
    const record = this.#records.get(daemonId);
    if (record?.heartbeat === undefined) return false;
    const { isLeaving, isReady } = record.heartbeat;
    return !isReady && !isLeaving &&
      record.suspectedAt <= record.lastHeartbeatAt;
  }

  /** What is known of a daemon that may run stages. */
  contactState(daemonId: string, now: number): ContactState {
    const record = this.#records.get(daemonId);
    if (record?.heartbeat === undefined) {
      const hasFailed = record !== undefined &&
        record.suspectedAt > Number.NEGATIVE_INFINITY;
      return hasFailed ? "unable" : "unknown";
    }
    const { isLeaving, isReady } = record.heartbeat;
    const isAble = isReady && !isLeaving && !this.isStalled(daemonId, now);
    return isAble ? "able" : "unable";
  }

  findAddress(daemonId: string): DaemonAddress | undefined {
    return this.#records.get(daemonId)?.address;
  }

  /** Advances this daemon's own heartbeat sequence. */
  advanceHeartbeat(): void {
    this.#sequence++;
  }

  /**
   * Creates this daemon's digest. A response to the digest `asker` omits the
   * heartbeats that it already contains.
   */
  createDigest(
    own: OwnState,
    options: {
      readonly configurationVersion: number;
      readonly storeEra: number | undefined;
      readonly crashChecksum?: number | undefined;
      readonly noticeChecksum?: number | undefined;
      readonly speedChecksum?: number | undefined;
      readonly slowEndpoints?: FleetDigest["slowEndpoints"];
      readonly now: number;
      readonly asker?: FleetDigest;
    },
  ): FleetDigest {
    const { self, incarnation } = this.#options;
    const heartbeat = {
      key: this.#ownKey,
      incarnation: packIncarnation(incarnation),
      sequence: this.#sequence,
      ...own,
    };
    const known = this.#liveHeartbeats(options.now);
    const missing = options.asker === undefined
      ? known
      : missingHeartbeats(known, options.asker.heartbeats);
    return {
      self,
      configurationVersion: options.configurationVersion,
      storeEra: options.storeEra,
      crashChecksum: options.crashChecksum,
      noticeChecksum: options.noticeChecksum,
      speedChecksum: options.speedChecksum,
      slowEndpoints: options.slowEndpoints,
      heartbeats: packHeartbeats([heartbeat, ...missing]),
    };
  }

  #liveHeartbeats(now: number): readonly PackedHeartbeat[] {
    return this.liveMembers(now).flatMap(({ address }) =>
      this.#records.get(address.daemonId)?.heartbeat ?? []
    );
  }

  #applyHeartbeat(
    record: MemberRecord,
    heartbeat: PackedHeartbeat,
    options: { readonly isOwn: boolean; readonly now: number },
  ): void {
    const { incarnation, sequence } = heartbeat;
    if (record.retiredIncarnations.has(incarnation)) return;
    const known = record.heartbeat;
    const isSameRun = known?.incarnation === incarnation;
    if (isSameRun && !isLaterSequence(sequence, known.sequence)) {
      // A digest from the daemon itself proves that it is live, even if the
      // same heartbeat arrived before through another daemon.
      if (options.isOwn && known.sequence === sequence) {
        this.#recordLiveness(record, options.now);
      }
      return;
    }
    // Other daemons may forward heartbeats of an ended incarnation, which must
    // never become current again.
    if (known !== undefined && !isSameRun) {
      record.retiredIncarnations.add(known.incarnation);
    }
    if (!isSameRun || !isSameState(known, heartbeat)) this.#view = undefined;
    record.heartbeat = heartbeat;
    if (!heartbeat.isLeaving) record.leavingSince = undefined;
    else if (!isSameRun) record.leavingSince = options.now;
    else record.leavingSince ??= options.now;
    this.#recordLiveness(record, options.now);
  }

  #recordLiveness(record: MemberRecord, now: number): void {
    const { stalled } = this.#timeouts();
    // A cached view without this daemon is outdated.
    const wasSilent = now - record.lastHeartbeatAt > stalled ||
      record.suspectedAt > record.lastHeartbeatAt;
    if (wasSilent) this.#view = undefined;
    record.lastHeartbeatAt = now;
  }

  #countSilenceFrom(now: number): void {
    this.#silenceCountsFrom = now;
    this.#view = undefined;
    for (const listener of this.#pauseListeners) listener();
  }

  #timeouts(): HeartbeatTimeouts {
    return heartbeatTimeouts(this.#records.size + 1);
  }

  #viewAt(now: number): FleetView {
    const known = this.#view;
    const isCurrent = known !== undefined && now >= known.at &&
      now - known.at < VIEW_CACHE_MILLISECONDS;
    if (isCurrent) return known;
    const view = createFleetView({
      records: this.#records.values(),
      limits: this.#timeouts(),
      silenceCountsFrom: this.#silenceCountsFrom,
      now,
    });
    this.#view = view;
    return view;
  }
}

function isSameAddress(known: DaemonAddress, told: DaemonAddress): boolean {
  return known.front === told.front && known.peer === told.peer &&
    known.zone === told.zone && known.cores === told.cores;
}

function isSameState(known: OwnState, told: OwnState): boolean {
  return known.isLeaving === told.isLeaving &&
    known.isReady === told.isReady &&
    known.isStoreFresh === told.isStoreFresh &&
    known.isIsolated === told.isIsolated;
}
