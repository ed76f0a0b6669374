import type {
  AddressAnswer,
  DaemonAddress,
  ManualTimer,
  RandomSource,
} from "kelpspar-shared";
import type { WorldDaemon } from "../daemon/world_daemon.ts";

/** Parameters of a `CallerDirectory`. */
export interface CallerDirectoryOptions {
  readonly timer: ManualTimer;
  readonly random: RandomSource;
  /** The newest incarnation of each daemon. */
  readonly daemons: () => readonly WorldDaemon[];
}

interface CachedAnswer {
  readonly answer: AddressAnswer;
  readonly expiresAt: number;
}

/**
 * Discovers daemons like the client library: fetches the addresses from any
 * daemon and caches them per availability zone of the callers, for as long as
 * the answer allows.
 */
export class CallerDirectory {
  readonly #options: CallerDirectoryOptions;
  readonly #cache = new Map<string, CachedAnswer>();

  constructor(options: CallerDirectoryOptions) {
    this.#options = options;
  }

  /** Chooses a daemon for a caller of a zone; `except` only as a last resort. */
  chooseDaemon(zone: string, except?: WorldDaemon): WorldDaemon {
    const { random } = this.#options;
    const addresses = this.#addressesOf(zone).filter(({ address }) =>
      address !== except?.address
    );
    const sameZone = addresses.filter(({ availabilityZone }) =>
      availabilityZone === zone
    );
    const chosen = chooseByWeight(
      sameZone.length > 0 ? sameZone : addresses,
      random,
    );
    const daemons = this.#options.daemons();
    const found = daemons.find(({ address }) => address === chosen?.address);
    return found ?? this.#chooseAnyDaemon(except);
  }

  /** Drops the cached addresses after a daemon refused or was unreachable. */
  invalidate(zone: string): void {
    this.#cache.delete(zone);
  }

  #addressesOf(zone: string): readonly DaemonAddress[] {
    const now = this.#options.timer.now();
    const hit = this.#cache.get(zone);
    if (hit !== undefined && now < hit.expiresAt) return hit.answer.daemons;
    const daemon = this.#chooseAnyDaemon();
    if (!daemon.isRunning) return hit?.answer.daemons ?? [];
    const answer = daemon.core.fleet.addresses(zone);
    const expiresAt = now + answer.keepMilliseconds;
    this.#cache.set(zone, { answer, expiresAt });
    return answer.daemons;
  }

  /** Chooses a daemon at random, as from a caller's initial list of addresses. */
  #chooseAnyDaemon(except?: WorldDaemon): WorldDaemon {
    const daemons = this.#options.daemons();
    const others = daemons.filter((daemon) => daemon !== except);
    const running = others.filter(({ isRunning }) => isRunning);
    const candidates =
      [running, others, daemons].find(({ length }) => length > 0) ?? [];
    const found = candidates[
      this.#options.random.nextInteger(
        Math.max(1, candidates.length),
      )
    ];
    if (found === undefined) throw new Error("The site has no daemons");
    return found;
  }
}

function chooseByWeight(
  addresses: readonly DaemonAddress[],
  random: RandomSource,
): DaemonAddress | undefined {
  const sum = addresses.reduce((total, { weight }) => total + weight, 0);
  let remaining = random.next() * sum;
  for (const address of addresses) {
    remaining -= address.weight;
    if (remaining < 0) return address;
  }
  return addresses.at(-1);
}
