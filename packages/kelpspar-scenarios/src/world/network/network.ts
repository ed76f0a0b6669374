import type { ManualTimer, RandomSource } from "kelpspar-shared";
import { NetworkLink } from "./network_link.ts";

const MINIMUM_DELAY_MILLISECONDS = 0.3;
const DELAY_SPREAD_MILLISECONDS = 1.2;
/** Arrival times are rounded up to multiples of this, so that many coincide. */
const ARRIVAL_STEP_MILLISECONDS = 0.25;

/** Simulates the network among daemons, endpoints and the platform. */
export class Network {
  readonly #timer: ManualTimer;
  readonly #random: RandomSource;
  readonly #links = new Map<string, NetworkLink>();
  readonly #extraDelays = new Map<string, number>();

  constructor(options: {
    readonly timer: ManualTimer;
    readonly random: RandomSource;
  }) {
    this.#timer = options.timer;
    this.#random = options.random;
  }

  /** The link between two parties, in either order. */
  link(first: string, second: string): NetworkLink {
    const name = [first, second].sort().join(" ");
    const existing = this.#links.get(name);
    if (existing !== undefined) return existing;
    const link = new NetworkLink();
    this.#links.set(name, link);
    return link;
  }

  /** All links of a party. */
  linksOf(party: string): readonly NetworkLink[] {
    return [...this.#links]
      .filter(([name]) => name.split(" ").includes(party))
      .map(([, link]) => link);
  }

  /** Adds a one-way delay to every message that a party sends or receives. */
  setExtraDelay(party: string, milliseconds: number): void {
    this.#extraDelays.set(party, milliseconds);
  }

  /** Waits for the one-way delay between two parties. */
  waitForTransit(from: string, to: string): Promise<void> {
    const delay = MINIMUM_DELAY_MILLISECONDS +
      this.#random.next() * DELAY_SPREAD_MILLISECONDS +
      (this.#extraDelays.get(from) ?? 0) + (this.#extraDelays.get(to) ?? 0);
    const now = this.#timer.now();
    const arrivesAt = Math.ceil((now + delay) / ARRIVAL_STEP_MILLISECONDS) *
      ARRIVAL_STEP_MILLISECONDS;
    return new Promise((resolve) => {
      this.#timer.registerTimeout(resolve, arrivesAt - now);
    });
  }
}
