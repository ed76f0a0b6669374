import type {
  AddressAnswer,
  DaemonAddress,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import { KelpsparError, RESULT_CODES, toKelpsparError } from "kelpspar-shared";
import { chooseDaemon } from "./choose_daemon.ts";
import { parseHostPort, toHostPort } from "./daemon_address.ts";

/** Configuration of an `AddressCache`. */
export interface AddressCacheOptions {
  /** Daemons to query first, as `address:port`. */
  readonly seeds: readonly string[];
  readonly availabilityZone: string | undefined;
  /** Queries one daemon; throws KelpsparError. */
  readonly fetch: (daemon: DaemonAddress) => Promise<AddressAnswer>;
  readonly timer: TimerService;
  readonly random: RandomSource;
}

/** Constraints on the daemon for a step. */
export interface DaemonCriteria {
  /** Daemons that did not serve this request, as `address:port`. */
  readonly avoid: ReadonlySet<string>;
  /** Daemons that a daemon suggested instead of itself, as `address:port`. */
  readonly elsewhere?: readonly string[];
  /** The daemon that a key is bound to. */
  readonly incarnation?: string | undefined;
  /** True when a key will be bound to the daemon. */
  readonly bindsKey?: boolean;
}

/**
 * Caches the daemons' addresses for one caller. An answer is cached for the
 * time that it states and may be stale: any daemon that can be reached supplies
 * a newer one, and after a refused connection the cache queries another daemon.
 * Daemons keep no state for the cache.
 *
 * Source: the brief, "What the platform gives": callers ask which addresses to
 * use and keep the answer for a while.
 */
export class AddressCache {
  readonly #options: AddressCacheOptions;
  #daemons: readonly DaemonAddress[] = [];
  #expiresAt = -Infinity;
  #pendingRefresh: Promise<void> | undefined;

  constructor(options: AddressCacheOptions) {
    this.#options = options;
  }

  /**
   * Makes the next `choose` refresh the addresses. The cached addresses remain
   * as a fallback.
   */
  invalidate(): void {
    this.#expiresAt = -Infinity;
  }

  /** Throws KelpsparError, `not_run`, when no daemon is known. */
  async choose(criteria: DaemonCriteria): Promise<DaemonAddress> {
    if (this.#options.timer.now() >= this.#expiresAt) await this.#refresh();
    const bound = this.#daemons.find((daemon) =>
      daemon.incarnation === criteria.incarnation
    );
    if (
      bound !== undefined && !criteria.avoid.has(toHostPort(bound))
    ) {
      return bound;
    }
    const chosen = this.#chooseSuggested(criteria) ?? this.#chooseAny(criteria);
    if (chosen !== undefined) return chosen;
    throw new KelpsparError(
      "peer_unavailable",
      `Cannot choose a daemon: none of the seeds "${
        this.#options.seeds.join(", ")
      }" returned an address`,
    );
  }

  #chooseSuggested(criteria: DaemonCriteria): DaemonAddress | undefined {
    const places = (criteria.elsewhere ?? []).filter((place) =>
      !criteria.avoid.has(place)
    );
    const known = this.#daemons.filter((daemon) =>
      places.includes(toHostPort(daemon))
    );
    if (known.length > 0) return chooseDaemon(known, this.#options);
    if (criteria.bindsKey || places.length === 0) return undefined;
    const place = places[this.#options.random.nextInteger(places.length)];
    return place === undefined ? undefined : parseHostPort(place);
  }

  #chooseAny(criteria: DaemonCriteria): DaemonAddress | undefined {
    const remaining = this.#daemons.filter((daemon) =>
      !criteria.avoid.has(toHostPort(daemon))
    );
    const candidates = remaining.length > 0 ? remaining : this.#daemons;
    return chooseDaemon(candidates, this.#options);
  }

  /** Concurrent callers share one refresh. */
  #refresh(): Promise<void> {
    this.#pendingRefresh ??= this.#refreshFromFirst().finally(() => {
      this.#pendingRefresh = undefined;
    });
    return this.#pendingRefresh;
  }

  /** Uses the first source that returns addresses. */
  async #refreshFromFirst(): Promise<void> {
    let failure: KelpsparError | undefined;
    for (const daemon of this.#listSources()) {
      try {
        const answer = await this.#options.fetch(daemon);
        if (answer.daemons.length === 0) continue;
        this.#daemons = answer.daemons;
        this.#expiresAt = this.#options.timer.now() + answer.keepMilliseconds;
        return;
      } catch (error) {
        failure = toKelpsparError(error, "peer_unavailable");
        if (RESULT_CODES[failure.result].retry === "never") break;
      }
    }
    if (this.#daemons.length > 0 || failure === undefined) return;
    throw failure;
  }

  /** The cached daemons, then the seeds, each group in random order. */
  #listSources(): DaemonAddress[] {
    const seeds = this.#options.seeds.map(parseHostPort);
    const places = new Map<string, DaemonAddress>();
    for (
      const daemon of [...this.#shuffle(this.#daemons), ...this.#shuffle(seeds)]
    ) {
      if (!places.has(toHostPort(daemon))) {
        places.set(toHostPort(daemon), daemon);
      }
    }
    return [...places.values()];
  }

  #shuffle(daemons: readonly DaemonAddress[]): DaemonAddress[] {
    const remaining = [...daemons];
    const shuffled: DaemonAddress[] = [];
    while (remaining.length > 0) {
      const index = this.#options.random.nextInteger(remaining.length);
      shuffled.push(...remaining.splice(index, 1));
    }
    return shuffled;
  }
}
