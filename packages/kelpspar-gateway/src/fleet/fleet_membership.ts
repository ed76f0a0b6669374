import type { DaemonAddress, FleetDigest, Heartbeat } from "./fleet_digest.ts";
import type { ReaderCandidate } from "../tables/reading_plan.ts";
import type { SilenceLimits } from "./silence_limits.ts";
import { rankByCores } from "./rank_by_cores.ts";
import { silenceLimits } from "./silence_limits.ts";

/** Who this daemon is. */
export interface FleetMembershipOptions {
  readonly self: DaemonAddress;
  readonly incarnation: string;
}

/** What a daemon says of itself now. */
export type OwnState = Pick<
  Heartbeat,
  "isLeaving" | "isReady" | "isStoreFresh"
>;

/** A daemon that is heard. */
export interface Member {
  readonly address: DaemonAddress;
  readonly heartbeat: Heartbeat;
}

interface MemberRecord {
  address: DaemonAddress | undefined;
  heartbeat: Heartbeat | undefined;
  /** When its heartbeat last moved on, as seen here. */
  heardAt: number;
  /** When a call to it last failed; what it said before doesn't count. */
  doubtedAt: number;
  /** Lives that were replaced by a later one. */
  readonly retired: Set<string>;
  readonly knownSince: number;
}

/** Silence after which a daemon is forgotten, milliseconds. */
const FORGOTTEN_AFTER_MILLISECONDS = 60_000;
/** A gap between sweeps of this length means that this daemon stood still. */
const PAUSE_MILLISECONDS = 900;
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
  #silenceCountsFrom = 0;
  #sweptAt: number | undefined;
  #sequence = 0;

  constructor(options: FleetMembershipOptions) {
    this.#options = options;
  }

  /** Takes in where a daemon may be. */
  learn(address: DaemonAddress, now: number): void {
    if (address.daemonId === this.#options.self.daemonId) return;
    this.#recordOf(address.daemonId, now).address = address;
  }

  /** Takes in a digest that a daemon sent itself. */
  heard(digest: FleetDigest, now: number): void {
    this.learn(digest.self, now);
    for (const heartbeat of digest.heartbeats) {
      const isOwn = heartbeat.daemonId === digest.self.daemonId;
      this.#takeHeartbeat(heartbeat, { isOwn, now });
    }
  }

  /** Daemons that are heard of, but not where they are. */
  get hasUnknownAddresses(): boolean {
    return [...this.#records.values()].some((one) => one.address === undefined);
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
      if (record.address?.peer !== peer) continue;
      record.doubtedAt = options.now;
      if (options.isRefused) record.heardAt = Number.NEGATIVE_INFINITY;
    }
  }

  /** Forgets the long dead; call it a few times a second. */
  sweep(now: number): void {
    const gap = now - (this.#sweptAt ?? now);
    if (gap > PAUSE_MILLISECONDS) this.#silenceCountsFrom = now;
    this.#sweptAt = now;
    for (const [id, record] of this.#records) {
      const since = Math.max(record.heardAt, record.knownSince);
      if (now - since > FORGOTTEN_AFTER_MILLISECONDS) this.#records.delete(id);
    }
  }

  /** Every daemon there may be, for digests. */
  contacts(): readonly DaemonAddress[] {
    return [...this.#records.values()].flatMap(({ address }) =>
      address === undefined ? [] : [address]
    );
  }

  /** Daemons heard from lately, leaving ones too. */
  heardLately(now: number): readonly Member[] {
    return this.#within(this.#limits().silent, now);
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
      const isHopeful = address !== undefined && heartbeat === undefined &&
        doubtedAt === Number.NEGATIVE_INFINITY &&
        now - knownSince <= HOPEFUL_MILLISECONDS;
      return isHopeful ? [{ address, isStoreFresh: true }] : [];
    });
    return [...heard, ...hopeful];
  }

  /** Whether a daemon may not be waited for any more. */
  isStalled(daemonId: string, now: number): boolean {
    if (daemonId === this.#options.self.daemonId) return false;
    return !this.#trusted(now).some((one) => one.address.daemonId === daemonId);
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
    const { self } = this.#options;
    const others = this.#trusted(options.now).filter(({ heartbeat }) =>
      heartbeat.isReady && !heartbeat.isLeaving
    );
    const own = {
      address: self,
      isStoreFresh: options.own.isStoreFresh && !options.own.isLeaving,
    };
    const all = [
      own,
      ...others.map(({ address, heartbeat }) => ({
        address,
        isStoreFresh: heartbeat.isStoreFresh,
      })),
    ];
    const fresh = all.filter((one) => one.isStoreFresh);
    const stale = all.filter((one) => !one.isStoreFresh);
    return [fresh, stale].flatMap((group) =>
      rankByCores(key, group.map((one) => one.address))
    );
  }

  find(daemonId: string): DaemonAddress | undefined {
    return this.#records.get(daemonId)?.address;
  }

  /** Moves this daemon's own heartbeat on. */
  beat(): void {
    this.#sequence++;
  }

  /** This daemon's digest now. */
  createDigest(
    own: OwnState,
    options: {
      readonly configurationVersion: number;
      readonly storeEra: number | undefined;
      readonly now: number;
    },
  ): FleetDigest {
    const { self, incarnation } = this.#options;
    const heartbeat = {
      daemonId: self.daemonId,
      incarnation,
      sequence: this.#sequence,
      ...own,
    };
    return {
      self,
      configurationVersion: options.configurationVersion,
      storeEra: options.storeEra,
      heartbeats: [
        heartbeat,
        ...this.heardLately(options.now).map((one) => one.heartbeat),
      ],
    };
  }

  #takeHeartbeat(
    heartbeat: Heartbeat,
    options: { readonly isOwn: boolean; readonly now: number },
  ): void {
    const { daemonId, incarnation, sequence } = heartbeat;
    if (daemonId === this.#options.self.daemonId) return;
    const record = this.#recordOf(daemonId, options.now);
    if (record.retired.has(incarnation)) return;
    const known = record.heartbeat;
    const isSameLife = known?.incarnation === incarnation;
    if (isSameLife && known.sequence >= sequence) {
      // What a daemon says itself proves its life whatever was heard before.
      if (options.isOwn && known.sequence === sequence) {
        record.heardAt = options.now;
      }
      return;
    }
    // Others may pass on a life that has ended; it is never taken up again.
    if (known !== undefined && !isSameLife) {
      record.retired.add(known.incarnation);
    }
    record.heartbeat = heartbeat;
    record.heardAt = options.now;
  }

  #recordOf(daemonId: string, now: number): MemberRecord {
    const known = this.#records.get(daemonId);
    if (known !== undefined) return known;
    const record = {
      address: undefined,
      heartbeat: undefined,
      heardAt: Number.NEGATIVE_INFINITY,
      doubtedAt: Number.NEGATIVE_INFINITY,
      retired: new Set<string>(),
      knownSince: now,
    };
    this.#records.set(daemonId, record);
    return record;
  }

  #limits(): SilenceLimits {
    return silenceLimits(this.#records.size + 1);
  }

  /** Daemons that may be waited for. */
  #trusted(now: number): readonly Member[] {
    return this.#within(this.#limits().stalled, now).filter((one) => {
      const record = this.#records.get(one.address.daemonId);
      return record !== undefined && record.doubtedAt <= record.heardAt;
    });
  }

  #within(milliseconds: number, now: number): readonly Member[] {
    return [...this.#records.values()].flatMap((record) => {
      const { address, heartbeat, heardAt } = record;
      const isUnknown = address === undefined || heartbeat === undefined ||
        heardAt === Number.NEGATIVE_INFINITY;
      if (isUnknown) return [];
      const since = Math.max(heardAt, this.#silenceCountsFrom);
      return now - since <= milliseconds ? [{ address, heartbeat }] : [];
    });
  }
}
