import type { DaemonAddress, FleetDigest } from "./fleet_digest.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";

/** Who this daemon is. */
export interface FleetMembershipOptions {
  readonly self: DaemonAddress;
  readonly incarnation: string;
}

interface MemberRecord {
  address: DaemonAddress;
  digest: FleetDigest | undefined;
  heardAt: number;
  /** When a call to it last failed; what it said before doesn't count. */
  doubtedAt: number;
  /** When this daemon first learned of it. */
  readonly knownSince: number;
}

/**
 * Silence after which a daemon gets no callers, milliseconds. Digests come
 * every 400 ms and a lost packet is sent again within a second.
 */
const SILENT_AFTER_MILLISECONDS = 1_700;
/**
 * Silence after which stages are run elsewhere, milliseconds: sooner than the
 * above, since that costs only calls that are less full.
 */
const STALLED_AFTER_MILLISECONDS = 1_300;
/** Silence after which a daemon is forgotten, milliseconds. */
const FORGOTTEN_AFTER_MILLISECONDS = 60_000;
/** A gap between sweeps of this length means that this daemon stood still. */
const PAUSE_MILLISECONDS = 900;
/** A store older than this makes a daemon's list of endpoints doubtful. */
const STORE_STALE_MILLISECONDS = 3_500;
/** A daemon that is this many digests old is heard of, but never seen. */
const MOST_KNOWN_IN_DIGEST = 64;

/**
 * Which daemons live. They hear of one another from seeds, from the store and
 * from each other, and believe only digests that a daemon sent itself.
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

  /** Takes in that a daemon may be at an address. */
  learn(address: DaemonAddress, now: number): void {
    if (address.daemonId === this.#options.self.daemonId) return;
    if (this.#records.has(address.daemonId)) return;
    this.#records.set(address.daemonId, {
      address,
      digest: undefined,
      heardAt: Number.NEGATIVE_INFINITY,
      doubtedAt: Number.NEGATIVE_INFINITY,
      knownSince: now,
    });
  }

  /** Takes in a digest; false when it says nothing new. */
  heard(digest: FleetDigest, now: number): boolean {
    if (digest.daemonId === this.#options.self.daemonId) return false;
    for (const address of digest.known) this.learn(address, now);
    this.learn(digest, now);
    const record = this.#records.get(digest.daemonId) as MemberRecord;
    const known = record.digest;
    const isOld = known !== undefined &&
      known.incarnation === digest.incarnation &&
      known.sequence >= digest.sequence;
    if (isOld) return false;
    record.address = digest;
    record.digest = digest;
    record.heardAt = now;
    return true;
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
    return [...this.#records.values()].map(({ address }) => address);
  }

  /** Daemons heard from lately, leaving ones too. */
  heardLately(now: number): readonly FleetDigest[] {
    return this.#within(SILENT_AFTER_MILLISECONDS, now);
  }

  /** Daemons that callers may use, this one left out. */
  serving(now: number): readonly FleetDigest[] {
    return this.heardLately(now).filter((one) => !one.isLeaving && one.isReady);
  }

  /** Whether a daemon may be waited for. */
  isStalled(daemonId: string, now: number): boolean {
    if (daemonId === this.#options.self.daemonId) return false;
    return !this.#trusted(now).some((one) => one.daemonId === daemonId);
  }

  /**
   * Daemons that may run a key's stages, best first, this one among them. Those
   * that the store turned away come last: their list of endpoints is old.
   */
  ranked(
    key: string,
    options: {
      readonly now: number;
      readonly ownStoreAge: number;
      readonly isLeaving: boolean;
    },
  ): readonly string[] {
    const { now } = options;
    const others = this.#trusted(now).filter((one) =>
      one.isReady && !one.isLeaving
    );
    const fresh = others.filter((one) => isFresh(one.storeAgeMilliseconds));
    const stale = others.filter((one) => !isFresh(one.storeAgeMilliseconds));
    const groups = [
      fresh.map((one) => one.daemonId),
      stale.map((one) => one.daemonId),
    ];
    const { daemonId } = this.#options.self;
    if (options.isLeaving) groups.push([daemonId]);
    else groups[isFresh(options.ownStoreAge) ? 0 : 1]?.push(daemonId);
    return groups.flatMap((ids) =>
      new RendezvousNodes(ids).best(key, ids.length)
    );
  }

  find(daemonId: string): DaemonAddress | undefined {
    return this.#records.get(daemonId)?.address;
  }

  /** This daemon's next digest. */
  createDigest(
    state: Pick<
      FleetDigest,
      | "isLeaving"
      | "isReady"
      | "configurationVersion"
      | "storeAgeMilliseconds"
    >,
    now: number,
  ): FleetDigest {
    const { self, incarnation } = this.#options;
    const known = this.heardLately(now).slice(0, MOST_KNOWN_IN_DIGEST)
      .map(({ daemonId, front, peer, zone }) => ({
        daemonId,
        front,
        peer,
        zone,
      }));
    return {
      ...self,
      incarnation,
      sequence: ++this.#sequence,
      ...state,
      known,
    };
  }

  /** Daemons that may be waited for. */
  #trusted(now: number): readonly FleetDigest[] {
    return this.#within(STALLED_AFTER_MILLISECONDS, now).filter((one) => {
      const record = this.#records.get(one.daemonId);
      return record !== undefined && record.doubtedAt <= record.heardAt;
    });
  }

  #within(milliseconds: number, now: number): readonly FleetDigest[] {
    return [...this.#records.values()].flatMap(({ digest, heardAt }) => {
      if (digest === undefined || heardAt === Number.NEGATIVE_INFINITY) {
        return [];
      }
      const since = Math.max(heardAt, this.#silenceCountsFrom);
      return now - since <= milliseconds ? [digest] : [];
    });
  }
}

function isFresh(storeAge: number): boolean {
  return storeAge < STORE_STALE_MILLISECONDS;
}
