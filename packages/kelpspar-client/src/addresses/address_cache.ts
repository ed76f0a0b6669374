import type {
  AddressAnswer,
  DaemonAddress,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import { KelpsparError, RESULT_CODES, toKelpsparError } from "kelpspar-shared";
import { chooseDaemon } from "./choose_daemon.ts";
import { daemonAtPlace, daemonPlace } from "./daemon_address.ts";

/** What the address book works with. */
export interface AddressBookOptions {
  /** Daemons to ask first, as `address:port`. */
  readonly seeds: readonly string[];
  readonly availabilityZone: string | undefined;
  /** Asks one daemon; throws KelpsparError. */
  readonly fetch: (daemon: DaemonAddress) => Promise<AddressAnswer>;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

/** Which daemon a step wants. */
export interface DaemonWish {
  /** Places that did not serve this request, as `address:port`. */
  readonly avoid: ReadonlySet<string>;
  /** Places that a daemon named instead of itself. */
  readonly elsewhere?: readonly string[];
  /** The daemon that a key is bound to. */
  readonly incarnation?: string | undefined;
  /** True when a key will be bound to the daemon. */
  readonly bindsKey?: boolean;
}

/**
 * What this caller knows of the daemons. Answers are kept for as long as they
 * allow and may be stale: whichever daemon is reached corrects them, and a
 * refused connection lets the book ask another daemon. No daemon keeps any
 * state for it.
 *
 * Source: the brief, "What the platform gives": callers ask which addresses to
 * use and keep the answer for a while.
 */
export class AddressBook {
  readonly #options: AddressBookOptions;
  #daemons: readonly DaemonAddress[] = [];
  #keptUntil = -Infinity;
  #asking: Promise<void> | undefined;

  constructor(options: AddressBookOptions) {
    this.#options = options;
  }

  /** Lets the next choice ask anew; what is known stays as a last resort. */
  invalidate(): void {
    this.#keptUntil = -Infinity;
  }

  /** Throws KelpsparError, `not_run`, when no daemon is known. */
  async choose(wish: DaemonWish): Promise<DaemonAddress> {
    if (this.#options.timer.now() >= this.#keptUntil) await this.#ask();
    const bound = this.#daemons.find((daemon) =>
      daemon.incarnation === wish.incarnation
    );
    if (bound !== undefined && !wish.avoid.has(daemonPlace(bound))) {
      return bound;
    }
    const chosen = this.#chooseElsewhere(wish) ?? this.#chooseAny(wish);
    if (chosen !== undefined) return chosen;
    throw new KelpsparError(
      "peer_unavailable",
      `None of the seeds "${this.#options.seeds.join(", ")}" named a daemon`,
    );
  }

  #chooseElsewhere(wish: DaemonWish): DaemonAddress | undefined {
    const places = (wish.elsewhere ?? []).filter((place) =>
      !wish.avoid.has(place)
    );
    const known = this.#daemons.filter((daemon) =>
      places.includes(daemonPlace(daemon))
    );
    if (known.length > 0) return chooseDaemon(known, this.#options);
    if (wish.bindsKey || places.length === 0) return undefined;
    const place = places[this.#options.random.nextInteger(places.length)];
    return place === undefined ? undefined : daemonAtPlace(place);
  }

  #chooseAny(wish: DaemonWish): DaemonAddress | undefined {
    const left = this.#daemons.filter((daemon) =>
      !wish.avoid.has(daemonPlace(daemon))
    );
    const candidates = left.length > 0 ? left : this.#daemons;
    return chooseDaemon(candidates, this.#options);
  }

  /** Requests that need the answer at the same time share one question. */
  #ask(): Promise<void> {
    this.#asking ??= this.#askEach().finally(() => {
      this.#asking = undefined;
    });
    return this.#asking;
  }

  async #askEach(): Promise<void> {
    let failure: KelpsparError | undefined;
    for (const daemon of this.#inTurn()) {
      try {
        const answer = await this.#options.fetch(daemon);
        if (answer.daemons.length === 0) continue;
        this.#daemons = answer.daemons;
        this.#keptUntil = this.#options.timer.now() + answer.keepMilliseconds;
        return;
      } catch (error) {
        failure = toKelpsparError(error, "peer_unavailable");
        if (RESULT_CODES[failure.result].retry === "never") break;
      }
    }
    if (this.#daemons.length > 0 || failure === undefined) return;
    throw failure;
  }

  /** Daemons known from before, then the seeds, each in an order by chance. */
  #inTurn(): DaemonAddress[] {
    const seeds = this.#options.seeds.map(daemonAtPlace);
    const places = new Map<string, DaemonAddress>();
    for (
      const daemon of [...this.#shuffle(this.#daemons), ...this.#shuffle(seeds)]
    ) {
      if (!places.has(daemonPlace(daemon))) {
        places.set(daemonPlace(daemon), daemon);
      }
    }
    return [...places.values()];
  }

  #shuffle(daemons: readonly DaemonAddress[]): DaemonAddress[] {
    const left = [...daemons];
    const shuffled: DaemonAddress[] = [];
    while (left.length > 0) {
      const index = this.#options.random.nextInteger(left.length);
      shuffled.push(...left.splice(index, 1));
    }
    return shuffled;
  }
}
