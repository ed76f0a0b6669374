import type {
  AddressAnswer,
  DaemonAddress,
  RandomSource,
  TimerService,
} from "kelpspar-shared";
import type { DaemonPools } from "./daemon_pools.ts";

const STATUS_OK = 200;
const REFRESH_TIMEOUT_MILLISECONDS = 1_000;
const AVOID_MILLISECONDS = 2_000;
const FAILED_REFRESH_KEEP_MILLISECONDS = 500;

/** Options of `DaemonAddressCache`. */
export interface DaemonAddressCacheOptions {
  readonly availabilityZone: string;
  /** Ports of the seed daemons on this host. */
  readonly ports: readonly number[];
  readonly callerKey: string;
  readonly pools: DaemonPools;
  readonly timer: TimerService;
  readonly random: RandomSource;
  /**
   * How long the seed addresses are used before a refresh, in milliseconds.
   * Default 0: refreshes at once.
   */
  readonly keepMilliseconds?: number;
}

/**
 * Daemon addresses for the callers of a zone. Each answer is kept for its
 * `keepMilliseconds`, then refreshed.
 */
export class DaemonAddressCache {
  readonly #options: DaemonAddressCacheOptions;
  readonly #avoided = new Map<string, number>();
  #daemons: readonly DaemonAddress[];
  #keepUntil: number;
  #refreshing: Promise<void> | undefined;

  constructor(options: DaemonAddressCacheOptions) {
    this.#options = options;
    this.#daemons = options.ports.map(toAddress);
    this.#keepUntil = options.timer.now() +
      (options.keepMilliseconds ?? 0);
  }

  /** Fetches addresses for the first time. */
  async open(): Promise<void> {
    await this.#refresh();
  }

  /**
   * Draws a daemon at random by weight, without those in `tried`. Avoided
   * daemons are drawn only if no other is left.
   */
  choose(tried: ReadonlySet<string>): DaemonAddress | undefined {
    const { timer, random } = this.#options;
    if (timer.now() >= this.#keepUntil) void this.#refresh();
    const untried = this.#daemons.filter((daemon) =>
      !tried.has(formatAddress(daemon))
    );
    const preferred = untried.filter((daemon) => !this.#isAvoided(daemon));
    const candidates = preferred.length > 0 ? preferred : untried;
    const sum = candidates.reduce((total, { weight }) => total + weight, 0);
    let left = random.next() * sum;
    for (const daemon of candidates) {
      left -= daemon.weight;
      if (left < 0) return daemon;
    }
    return candidates.at(-1);
  }

  /** Avoids a daemon for some time after it refused a connection. */
  avoid(daemon: DaemonAddress): void {
    const { timer } = this.#options;
    this.#avoided.set(formatAddress(daemon), timer.now() + AVOID_MILLISECONDS);
    void this.#refresh();
  }

  #isAvoided(daemon: DaemonAddress): boolean {
    const until = this.#avoided.get(formatAddress(daemon)) ?? 0;
    return this.#options.timer.now() < until;
  }

  /** Runs one refresh at a time; the last answer stays in use meanwhile. */
  #refresh(): Promise<void> {
    this.#refreshing ??= this.#refreshFromAny().finally(() => {
      this.#refreshing = undefined;
    });
    return this.#refreshing;
  }

  async #refreshFromAny(): Promise<void> {
    const { timer, random } = this.#options;
    const order = [...this.#daemons, ...this.#options.ports.map(toAddress)]
      .map((daemon) => ({ daemon, rank: random.next() }))
      .sort((left, right) => left.rank - right.rank);
    for (const { daemon } of order) {
      const answer = await this.#fetchAddresses(daemon);
      if (answer === undefined || answer.daemons.length === 0) continue;
      this.#daemons = answer.daemons;
      this.#keepUntil = timer.now() + answer.keepMilliseconds;
      return;
    }
    this.#keepUntil = timer.now() + FAILED_REFRESH_KEEP_MILLISECONDS;
  }

  async #fetchAddresses(
    daemon: DaemonAddress,
  ): Promise<AddressAnswer | undefined> {
    const { pools, callerKey, availabilityZone, timer } = this.#options;
    const abort = new AbortController();
    const stopTimer = timer.registerTimeout(
      () => abort.abort(),
      REFRESH_TIMEOUT_MILLISECONDS,
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

/** Formats a daemon's address as `address:port`. */
export function formatAddress(
  daemon: Pick<DaemonAddress, "address" | "port">,
): string {
  return `${daemon.address}:${daemon.port}`;
}

/** A daemon on this host of which only the port is known. */
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
