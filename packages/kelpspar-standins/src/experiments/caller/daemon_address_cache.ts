import type {
  AddressAnswer,
  DaemonAddress,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import type { DaemonPools } from "./daemon_pools.ts";

const STATUS_OK = 200;
const ASK_TIMEOUT_MILLISECONDS = 1_000;
const AVOID_MILLISECONDS = 2_000;
const FAILED_KEEP_MILLISECONDS = 500;

/** What an address book is made of. */
export interface AddressBookOptions {
  readonly availabilityZone: string;
  /** Ports known from the beginning. */
  readonly ports: readonly number[];
  readonly callerKey: string;
  readonly pools: DaemonPools;
  readonly timer: TimerService;
  readonly random: RandomSource;
  /** How long the first ports are kept; default 0, so that it asks at once. */
  readonly keepMilliseconds?: number;
}

/** The addresses that the callers of a zone use, kept as long as told. */
export class AddressBook {
  readonly #options: AddressBookOptions;
  readonly #avoided = new Map<string, number>();
  #daemons: readonly DaemonAddress[];
  #keepUntil: number;
  #asking: Promise<void> | undefined;

  constructor(options: AddressBookOptions) {
    this.#options = options;
    this.#daemons = options.ports.map(toAddress);
    this.#keepUntil = options.timer.now() +
      (options.keepMilliseconds ?? 0);
  }

  /** Asks for addresses for the first time. */
  async open(): Promise<void> {
    await this.#ask();
  }

  /** Draws a daemon by weight, but for those in `tried` and avoided ones. */
  choose(tried: ReadonlySet<string>): DaemonAddress | undefined {
    const { timer, random } = this.#options;
    if (timer.now() >= this.#keepUntil) void this.#ask();
    const untried = this.#daemons.filter((one) => !tried.has(nameOf(one)));
    const good = untried.filter((one) => !this.#isAvoided(one));
    const candidates = good.length > 0 ? good : untried;
    const sum = candidates.reduce((total, { weight }) => total + weight, 0);
    let left = random.next() * sum;
    for (const daemon of candidates) {
      left -= daemon.weight;
      if (left < 0) return daemon;
    }
    return candidates.at(-1);
  }

  /** Keeps off a daemon that refused the connection, for a while. */
  avoid(daemon: DaemonAddress): void {
    const { timer } = this.#options;
    this.#avoided.set(nameOf(daemon), timer.now() + AVOID_MILLISECONDS);
    void this.#ask();
  }

  #isAvoided(daemon: DaemonAddress): boolean {
    const until = this.#avoided.get(nameOf(daemon)) ?? 0;
    return this.#options.timer.now() < until;
  }

  /** One question at a time; the old answer serves meanwhile. */
  #ask(): Promise<void> {
    this.#asking ??= this.#askAny().finally(() => {
      this.#asking = undefined;
    });
    return this.#asking;
  }

  async #askAny(): Promise<void> {
    const { timer, random } = this.#options;
    const order = [...this.#daemons, ...this.#options.ports.map(toAddress)]
      .map((daemon) => ({ daemon, rank: random.next() }))
      .sort((left, right) => left.rank - right.rank);
    for (const { daemon } of order) {
      const answer = await this.#askOne(daemon);
      if (answer === undefined || answer.daemons.length === 0) continue;
      this.#daemons = answer.daemons;
      this.#keepUntil = timer.now() + answer.keepMilliseconds;
      return;
    }
    this.#keepUntil = timer.now() + FAILED_KEEP_MILLISECONDS;
  }

  async #askOne(daemon: DaemonAddress): Promise<AddressAnswer | undefined> {
    const { pools, callerKey, availabilityZone, timer } = this.#options;
    const abort = new AbortController();
    const stopTimer = timer.registerTimeout(
      () => abort.abort(),
      ASK_TIMEOUT_MILLISECONDS,
    );
    try {
      const answer = await pools.of(daemon).request({
        method: "GET",
        path: `/v1/addresses?zone=${availabilityZone}`,
        headers: { authorization: `Bearer ${callerKey}` },
        signal: abort.signal,
      });
      const body = await answer.body.json();
      return answer.statusCode === STATUS_OK
        ? body as AddressAnswer
        : undefined;
    } catch {
      return undefined;
    } finally {
      stopTimer();
    }
  }
}

/** Names a daemon as `address:port`. */
export function nameOf(
  daemon: Pick<DaemonAddress, "address" | "port">,
): string {
  return `${daemon.address}:${daemon.port}`;
}

/** An address of which nothing but the port is known. */
export function toAddress(port: number): DaemonAddress {
  return {
    address: "127.0.0.1",
    port,
    availabilityZone: "",
    incarnation: "",
    keyEpoch: 0,
    weight: 1,
  };
}
