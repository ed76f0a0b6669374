import type { RandomSource } from "kelpspar-shared";
import type { DaemonAddress } from "./fleet_digest.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";

/** Number of daemons that each daemon exchanges digests with in turn. */
const PARTNER_COUNT = 6;
/**
 * Probability that a round uses a random known daemon instead of a partner.
 * Partners are chosen among likely reachable daemons only, so partitions of a
 * fleet that receive no heartbeats from each other would never merge.
 */
const RANDOM_PARTNER_SHARE = 0.125;

/** Daemons that a round's partner is chosen from. */
export interface PartnerCandidates {
  /** Daemons that are live or not known to be unreachable. */
  readonly likelyReachable: readonly DaemonAddress[];
  /** All known daemons, reachable or not. */
  readonly contacts: readonly DaemonAddress[];
}

/**
 * Chooses the daemons that a daemon of a large fleet exchanges digests with.
 *
 * Each daemon starts several exchanges a second. With a random partner each
 * time, nearly every exchange opens a connection on both sides, which costs
 * several times as much as the digest. A fixed set of a few partners keeps
 * connections open. Each daemon picks its partners by rendezvous hashing on its
 * own name, so that the fleet forms a random graph, in which heartbeats spread
 * as fast as with random partners.
 */
export class GossipPartners {
  readonly #daemonId: string;
  readonly #random: RandomSource;
  /** Sorted names of the daemons that `#partners` were chosen from. */
  #candidatesKey = "";
  #partners: readonly string[] = [];
  #nextIndex = 0;

  constructor(
    options: { readonly daemonId: string; readonly random: RandomSource },
  ) {
    this.#daemonId = options.daemonId;
    this.#random = options.random;
  }

  /** The daemon to exchange with next; undefined while none is known. */
  next(options: PartnerCandidates): DaemonAddress | undefined {
    const { likelyReachable, contacts } = options;
    const isRandomRound = this.#random.next() < RANDOM_PARTNER_SHARE;
    if (likelyReachable.length === 0 || isRandomRound) {
      return contacts[this.#random.nextInteger(Math.max(1, contacts.length))];
    }
    const partners = this.#choosePartners(
      likelyReachable.map((address) => address.daemonId).sort(),
    );
    const id = partners[this.#nextIndex++ % partners.length];
    return likelyReachable.find((address) => address.daemonId === id);
  }

  #choosePartners(ids: readonly string[]): readonly string[] {
    const key = ids.join();
    if (key === this.#candidatesKey) return this.#partners;
    this.#candidatesKey = key;
    this.#partners = new RendezvousNodes(ids).best(
      this.#daemonId,
      PARTNER_COUNT,
    );
    return this.#partners;
  }
}
