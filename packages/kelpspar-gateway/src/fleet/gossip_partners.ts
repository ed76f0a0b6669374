import type { RandomSource } from "kelpspar-shared";
import type { DaemonAddress } from "./fleet_digest.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";

/** Daemons that each one exchanges with in turn. */
const PARTNERS = 6;
/**
 * Each round is with any daemon instead, by this chance: partners are chosen
 * among those that are heard, and parts of a fleet that don't hear each other
 * would stay apart.
 */
const STRANGER_SHARE = 0.125;

/** Whom a round is drawn from. */
export interface PartnerRoundOptions {
  /** Daemons that are heard, or may be. */
  readonly promising: readonly DaemonAddress[];
  /** Every daemon that there may be. */
  readonly contacts: readonly DaemonAddress[];
}

/**
 * Chooses whom a daemon of a large fleet exchanges digests with.
 *
 * Load: each daemon begins some exchanges a second. With partners drawn anew
 * each time nearly every exchange opens a connection on both sides, which costs
 * several times what the digest does. A few partners in turn keep theirs. Each
 * daemon's partners are the best for its own name, so that the fleet is a
 * random graph, and word goes round in it as fast as by chance.
 */
export class PartnerRounds {
  readonly #daemonId: string;
  readonly #random: RandomSource;
  /** Among whom the partners were chosen. */
  #joinedIds = "";
  #partners: readonly string[] = [];
  #turn = 0;

  constructor(
    options: { readonly daemonId: string; readonly random: RandomSource },
  ) {
    this.#daemonId = options.daemonId;
    this.#random = options.random;
  }

  /** The daemon to exchange with now; undefined while none is known. */
  next(options: PartnerRoundOptions): DaemonAddress | undefined {
    const { promising, contacts } = options;
    const isStranger = this.#random.next() < STRANGER_SHARE;
    if (promising.length === 0 || isStranger) {
      return contacts[this.#random.nextInteger(Math.max(1, contacts.length))];
    }
    const partners = this.#partnersAmong(
      promising.map((one) => one.daemonId).sort(),
    );
    const id = partners[this.#turn++ % partners.length];
    return promising.find((one) => one.daemonId === id);
  }

  #partnersAmong(ids: readonly string[]): readonly string[] {
    const joined = ids.join();
    if (joined === this.#joinedIds) return this.#partners;
    this.#joinedIds = joined;
    this.#partners = new RendezvousNodes(ids).best(this.#daemonId, PARTNERS);
    return this.#partners;
  }
}
