import type { PieceTerms } from "../configuration/service_definition.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { EndpointRateLimiter } from "../endpoints/endpoint_rate_limiter.ts";
import type { EndpointState } from "../endpoints/endpoint_state.ts";
import type { PieceResult } from "./chain_outcome.ts";
import { preferHealthy } from "../endpoints/prefer_healthy.ts";
import { EndpointLane } from "./endpoint_lane.ts";

/** What lanes are made with. */
export interface ServiceLanesOptions {
  readonly book: EndpointRegistry;
  readonly gate: EndpointRateLimiter;
  readonly service: string;
}

/** The endpoints of one stage service, as its desk uses them. */
export class ServiceLanes {
  readonly #book: EndpointRegistry;
  readonly #gate: EndpointRateLimiter;
  readonly #service: string;
  readonly #lanes = new Map<string, EndpointLane>();

  constructor(options: ServiceLanesOptions) {
    this.#book = options.book;
    this.#gate = options.gate;
    this.#service = options.service;
  }

  /**
   * Those that get work: the sound ones, else all that want no pause. Gives
   * paused ones only where all are, so that their pauses can be waited for.
   */
  usable(now: number): readonly EndpointLane[] {
    const all = this.#book.availableFor(this.#service);
    const best = preferHealthy(all, now);
    return (best.length > 0 ? best : all).map((one) => this.#laneOf(one));
  }

  #laneOf(endpoint: EndpointState): EndpointLane {
    const known = this.#lanes.get(endpoint.entry.id);
    if (known !== undefined) return known;
    const lane = new EndpointLane(endpoint, this.#gate);
    this.#lanes.set(endpoint.entry.id, lane);
    return lane;
  }

  /** Time until one more call could start if nothing waited, milliseconds. */
  slotWait(terms: PieceTerms, now: number): number {
    const waits = this.usable(now).map((lane) =>
      lane.waitFor(terms, { slowness: 1, now })
    );
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /** Ends calls that only carry pieces nobody needs any more. */
  abortUnneeded(): void {
    for (const lane of this.#lanes.values()) {
      for (const call of lane.calls) {
        if (call.tasks.every((task) => !task.chain.isOpen)) call.abort.abort();
      }
    }
  }

  /** Takes an endpoint out that ends the calls it has. */
  forget(id: string): void {
    this.#lanes.delete(id);
  }

  /** Gives up the calls at an endpoint that is gone. */
  drop(id: string): void {
    const lane = this.#lanes.get(id);
    if (lane === undefined) return;
    this.#lanes.delete(id);
    lane.isGone = true;
    for (const call of lane.calls) call.abort.abort();
  }

  freed(result: PieceResult): void {
    this.#lanes.get(result.makerId)?.free(result.handle);
  }
}
