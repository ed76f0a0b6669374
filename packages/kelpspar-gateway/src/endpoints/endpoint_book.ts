import type { EndpointEntry } from "./endpoint_entry.ts";
import { EndpointState } from "./endpoint_state.ts";

/**
 * Why an endpoint takes no more new work: it is leaving and goes on for a
 * while with what it has, or its life is over.
 */
export type EndpointGoneCause = "leaving" | "over";

/** Told when an endpoint takes no more new work. */
export type EndpointGoneListener = (
  id: string,
  cause: EndpointGoneCause,
) => void;

/** What an entry that was put came to. */
export type EndpointPutOutcome =
  | "listed"
  | "renewed"
  | "leaving"
  /** This life of the endpoint was taken out before. */
  | "has_left"
  | "earlier_life";

/** One life of an endpoint, from a start to an end. */
export type EndpointLife = Pick<EndpointEntry, "id" | "bornAt">;

/** How removals are judged. */
export interface EndpointBookOptions {
  /**
   * How long an entry that is missing after an outage of the store may still
   * come back, milliseconds. Below the time within which a leaving endpoint
   * must get no more requests.
   */
  readonly lapseMilliseconds: number;
}

/**
 * The endpoints that may get work, by service. Leaving is final for a life of
 * an endpoint: a list read late, or one kept by a store that returns, must not
 * bring an endpoint back that has said it is leaving, since it may exit any
 * moment. One that starts again under its id is a new endpoint: it holds
 * nothing of what it made or read before, so that whoever goes on with beliefs
 * of the life before sends it inputs and prompts that are gone.
 */
export class EndpointBook {
  readonly #options: EndpointBookOptions;
  readonly #states = new Map<string, EndpointState>();
  readonly #byService = new Map<string, Set<EndpointState>>();
  /** Start of the last life that left or was replaced, by id. */
  readonly #left = new Map<string, number>();
  readonly #listeners = new Set<EndpointGoneListener>();

  constructor(options: EndpointBookOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#states.size;
  }

  get ids(): readonly string[] {
    return [...this.#states.keys()];
  }

  find(id: string): EndpointState | undefined {
    return this.#states.get(id);
  }

  /** Those of `service` that may get new work. */
  ofService(service: string): readonly EndpointState[] {
    return [...this.#byService.get(service) ?? []];
  }

  put(entry: EndpointEntry): EndpointPutOutcome {
    const { id, bornAt } = entry;
    const left = this.#left.get(id) ?? Number.NEGATIVE_INFINITY;
    if (bornAt === left) return "has_left";
    const known = this.#states.get(id);
    // Word of an earlier life, from whatever source, arrived late.
    const lastBorn = Math.max(left, known?.entry.bornAt ?? left);
    if (bornAt < lastBorn) return "earlier_life";
    if (known !== undefined && bornAt > known.entry.bornAt) {
      known.end();
      this.leave(known.entry);
    }
    if (entry.isDraining) {
      this.leave(entry, "leaving");
      return "leaving";
    }
    if (this.#states.has(id)) {
      this.#renew(entry);
      return "renewed";
    }
    this.#add(entry);
    return "listed";
  }

  /** Takes in that a life of an endpoint began, told by itself. */
  heardBirth(id: string, bornAt: number): void {
    const known = this.#states.get(id);
    if (known === undefined) return;
    this.put({ ...known.entry, bornAt });
  }

  /** Takes a life of an endpoint out for good; a later one stays. */
  leave(
    { id, bornAt }: EndpointLife,
    cause: EndpointGoneCause = "over",
  ): void {
    const left = this.#left.get(id) ?? Number.NEGATIVE_INFINITY;
    this.#left.set(id, Math.max(left, bornAt));
    const known = this.#states.get(id);
    if (known === undefined || known.entry.bornAt > bornAt) return;
    this.#drop(id, cause);
  }

  /**
   * Takes in that an entry is missing. While the store was away entries lapse
   * of endpoints that live; those are back soon after, so that an endpoint
   * which vanished around an outage is given that long. Returns until when it
   * is believed, undefined when it is out.
   */
  miss(
    id: string,
    options: { readonly isStoreUnsettled: boolean; readonly now: number },
  ): number | undefined {
    const state = this.#states.get(id);
    if (state === undefined) return undefined;
    if (!options.isStoreUnsettled) {
      // One that crashed shows that itself, by calls that fail.
      this.leave(state.entry, "leaving");
      return undefined;
    }
    state.lapsesAt ??= options.now + this.#options.lapseMilliseconds;
    return state.lapsesAt;
  }

  /** Drops entries that were missing for too long; returns their ids. */
  sweep(now: number): readonly string[] {
    const lapsed = [...this.#states.values()]
      .filter(({ lapsesAt }) => lapsesAt !== undefined && lapsesAt <= now)
      .map(({ entry }) => entry.id);
    for (const id of lapsed) this.#drop(id);
    return lapsed;
  }

  registerGone(listener: EndpointGoneListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #renew(entry: EndpointEntry): void {
    const known = this.#states.get(entry.id);
    if (known === undefined) return;
    if (known.entry.service !== entry.service) {
      this.#drop(entry.id);
      this.#add(entry);
      return;
    }
    known.entry = entry;
    known.lapsesAt = undefined;
  }

  #add(entry: EndpointEntry): void {
    const state = new EndpointState(entry);
    this.#states.set(entry.id, state);
    const ofService = this.#byService.get(entry.service);
    if (ofService === undefined) {
      this.#byService.set(entry.service, new Set([state]));
    } else ofService.add(state);
  }

  #drop(id: string, cause: EndpointGoneCause = "over"): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    this.#states.delete(id);
    this.#byService.get(state.entry.service)?.delete(state);
    for (const listener of this.#listeners) listener(id, cause);
  }
}
