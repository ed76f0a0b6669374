import type { EngineOrder } from "kelpspar-shared";

/** An order as it came, for checkers: `GET /control/orders`. */
export interface LoggedOrder extends EngineOrder {
  readonly accepted: boolean;
  /** When it came, on the engine's monotonic clock, milliseconds. */
  readonly at: number;
}

/** Checks fencing numbers, or lets every order pass. */
export class OrderLog {
  readonly #checksFencing: boolean;
  readonly #highest = new Map<string, number>();
  readonly #orders: LoggedOrder[] = [];

  constructor(checksFencing: boolean) {
    this.#checksFencing = checksFencing;
  }

  get orders(): readonly LoggedOrder[] {
    return this.#orders;
  }

  /** False for an order with an old fencing number at a checking engine. */
  admit(order: EngineOrder, at: number): boolean {
    const highest = this.#highest.get(order.group) ?? 0;
    const accepted = !this.#checksFencing || order.fencingNumber >= highest;
    this.#highest.set(order.group, Math.max(highest, order.fencingNumber));
    this.#orders.push({ ...order, accepted, at });
    return accepted;
  }
}
