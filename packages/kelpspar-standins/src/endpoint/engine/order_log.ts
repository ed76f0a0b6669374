import type { EngineOrder } from "kelpspar-shared";

/** A received order, listed to checkers by `GET /control/orders`. */
export interface LoggedOrder extends EngineOrder {
  readonly accepted: boolean;
  /** Time of arrival on the engine's monotonic clock, milliseconds. */
  readonly at: number;
}

/** Records orders and, if configured, checks their fencing numbers. */
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

  /** False when fencing is checked and the fencing number is stale. */
  admit(order: EngineOrder, at: number): boolean {
    const highest = this.#highest.get(order.group) ?? 0;
    const accepted = !this.#checksFencing || order.fencingNumber >= highest;
    this.#highest.set(order.group, Math.max(highest, order.fencingNumber));
    this.#orders.push({ ...order, accepted, at });
    return accepted;
  }
}
