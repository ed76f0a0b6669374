import type {
  AddressAnswer,
  DaemonAddress,
  ManualTimer,
  RandomSource,
} from "kelpspar-shared";
import type { WorldDaemon } from "../daemon/world_daemon.ts";

/** What callers find daemons with. */
export interface CallerDirectoryOptions {
  readonly timer: ManualTimer;
  readonly random: RandomSource;
  /** The newest incarnation of each daemon. */
  readonly daemons: () => readonly WorldDaemon[];
}

interface KeptAnswer {
  readonly answer: AddressAnswer;
  readonly keepUntil: number;
}

/**
 * Asks any daemon which ones to use and keeps the answer for as long as it
 * says, one for the callers of each availability zone, as the client library
 * does.
 */
export class CallerDirectory {
  readonly #options: CallerDirectoryOptions;
  readonly #kept = new Map<string, KeptAnswer>();

  constructor(options: CallerDirectoryOptions) {
    this.#options = options;
  }

  /** A daemon for a caller of a zone, not `except` if there is another. */
  choose(zone: string, except?: WorldDaemon): WorldDaemon {
    const { random } = this.#options;
    const addresses = this.#addressesOf(zone).filter(({ address }) =>
      address !== except?.address
    );
    const near = addresses.filter(({ availabilityZone }) =>
      availabilityZone === zone
    );
    const chosen = draw(near.length > 0 ? near : addresses, random);
    const daemons = this.#options.daemons();
    const found = daemons.find(({ address }) => address === chosen?.address);
    return found ?? this.#any(except);
  }

  /** Drops what is kept: a daemon of it refused or was not there. */
  forget(zone: string): void {
    this.#kept.delete(zone);
  }

  #addressesOf(zone: string): readonly DaemonAddress[] {
    const now = this.#options.timer.now();
    const kept = this.#kept.get(zone);
    if (kept !== undefined && now < kept.keepUntil) return kept.answer.daemons;
    const daemon = this.#any();
    if (!daemon.isRunning) return kept?.answer.daemons ?? [];
    const answer = daemon.core.fleet.addresses(zone);
    const keepUntil = now + answer.keepMilliseconds;
    this.#kept.set(zone, { answer, keepUntil });
    return answer.daemons;
  }

  /** Any daemon that answers, as callers keep a list of them to begin with. */
  #any(except?: WorldDaemon): WorldDaemon {
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

function draw(
  addresses: readonly DaemonAddress[],
  random: RandomSource,
): DaemonAddress | undefined {
  const sum = addresses.reduce((total, { weight }) => total + weight, 0);
  let left = random.next() * sum;
  for (const address of addresses) {
    left -= address.weight;
    if (left < 0) return address;
  }
  return addresses.at(-1);
}
