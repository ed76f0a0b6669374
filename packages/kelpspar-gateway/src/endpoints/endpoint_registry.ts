import type { EndpointEntry } from "./endpoint_entry.ts";
import type { EndpointLife } from "./return_tracker.ts";
import { EndpointState } from "./endpoint_state.ts";
import { ReturnWatch } from "./return_tracker.ts";

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

/** Told when endpoints of other availability zones may get work. */
export type EvacuationListener = () => void;

/** Told when an entry is missing that may come back. */
export type MissingListener = () => void;

/** What an entry that was put came to. */
export type EndpointPutOutcome =
  | "listed"
  | "renewed"
  | "leaving"
  /** This life of the endpoint was taken out before. */
  | "has_left"
  /** It was taken out since its entry was missing, and is listed again. */
  | "listed_again"
  | "earlier_life";

/**
 * An endpoint that was started, or whose zone is taken back, may be cold and
 * says so with its next heartbeat; until then that is presumed, milliseconds.
 */
const PRESUMED_COLD_MILLISECONDS = 3_000;

/**
 * The endpoints that may get work, by service. Leaving is final for a life of
 * an endpoint: a list read late, or one kept by a store that returns, must not
 * bring an endpoint back that has said it is leaving, since it may exit any
 * moment. One whose entry was only missing may be listed again. One that starts
 * again under its id is a new endpoint: it holds nothing of what it made or
 * read before, so that whoever goes on with beliefs of the life before sends it
 * inputs and prompts that are gone.
 */
export class EndpointBook {
  readonly #states = new Map<string, EndpointState>();
  readonly #byService = new Map<string, Set<EndpointState>>();
  /** Start of the last life that left or was replaced, by id. */
  readonly #left = new Map<string, number>();
  readonly #returns = new ReturnWatch();
  readonly #listeners = new Set<EndpointGoneListener>();
  readonly #evacuationListeners = new Set<EvacuationListener>();
  readonly #missingListeners = new Set<MissingListener>();
  #evacuated: ReadonlySet<string> = new Set();

  get size(): number {
    return this.#states.size;
  }

  get ids(): readonly string[] {
    return [...this.#states.keys()];
  }

  /** Those that were taken out as missing and may be listed again. */
  get returningIds(): readonly string[] {
    return this.#returns.ids;
  }

  find(id: string): EndpointState | undefined {
    return this.#states.get(id);
  }

  /** Those of `service` that may get new work. */
  ofService(service: string): readonly EndpointState[] {
    const all = [...this.#byService.get(service) ?? []];
    return this.#evacuated.size === 0
      ? all
      : all.filter((one) => !one.isEvacuated);
  }

  /** True when it has endpoints, and all of them are in evacuated zones. */
  isEvacuated(service: string): boolean {
    const all = [...this.#byService.get(service) ?? []];
    return all.length > 0 && all.every((one) => one.isEvacuated);
  }

  /** Availability zones whose endpoints get no new work. */
  get evacuatedZones(): ReadonlySet<string> {
    return this.#evacuated;
  }

  /** Takes in which availability zones are evacuated now. */
  setEvacuated(zones: ReadonlySet<string>, now: number): void {
    this.#evacuated = zones;
    for (const state of this.#states.values()) {
      const wasEvacuated = state.isEvacuated;
      state.isEvacuated = zones.has(state.entry.zone);
      if (wasEvacuated && !state.isEvacuated) {
        state.presumeCold(now + PRESUMED_COLD_MILLISECONDS);
      }
    }
    for (const listener of this.#evacuationListeners) listener();
  }

  registerEvacuation(listener: EvacuationListener): () => void {
    this.#evacuationListeners.add(listener);
    return () => this.#evacuationListeners.delete(listener);
  }

  /** True while an entry is missing that may come back. */
  get hasMissing(): boolean {
    return [...this.#states.values()].some((one) => one.lapsesAt !== undefined);
  }

  put(entry: EndpointEntry, now: number): EndpointPutOutcome {
    const { id, bornAt } = entry;
    const left = this.#left.get(id) ?? Number.NEGATIVE_INFINITY;
    if (bornAt === left) return this.#putAgain(entry, now);
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
      this.#renew(entry, now);
      return "renewed";
    }
    this.#add(entry, now);
    return "listed";
  }

  /** Takes in that a life of an endpoint began, told by itself. */
  heardBirth({ id, bornAt }: EndpointLife, now: number): void {
    const known = this.#states.get(id);
    if (known === undefined) return;
    const isNew = bornAt > known.entry.bornAt;
    this.put({ ...known.entry, bornAt }, now);
    if (!isNew) return;
    this.#states.get(id)?.presumeCold(now + PRESUMED_COLD_MILLISECONDS);
  }

  /** Takes a life of an endpoint out for good; a later one stays. */
  leave(
    { id, bornAt }: EndpointLife,
    cause: EndpointGoneCause = "over",
  ): void {
    const left = this.#left.get(id) ?? Number.NEGATIVE_INFINITY;
    this.#left.set(id, Math.max(left, bornAt));
    this.#returns.forget(id);
    const known = this.#states.get(id);
    if (known === undefined || known.entry.bornAt > bornAt) return;
    this.#drop(id, cause);
  }

  /**
   * Takes in that an entry is missing, and until when it is believed to be back
   * soon; without that its endpoint has left.
   */
  miss(id: string, heldUntil: number | undefined): void {
    this.#returns.missing(id);
    const state = this.#states.get(id);
    if (state === undefined) return;
    if (heldUntil !== undefined) {
      state.lapsesAt ??= heldUntil;
      for (const listener of this.#missingListeners) listener();
      return;
    }
    // One that crashed shows that itself, by calls that fail.
    this.leave(state.entry, "leaving");
    this.#returns.missed(state.entry);
  }

  /** Believes an endpoint longer whose entry is missing. */
  hold(id: string, until: number): void {
    const state = this.#states.get(id);
    if (state?.lapsesAt === undefined) return;
    state.lapsesAt = Math.max(state.lapsesAt, until);
  }

  /**
   * Takes an endpoint out whose entry can't be read, until it can. It may have
   * said that it leaves just before, and nobody would know.
   */
  suspend(id: string): void {
    this.#returns.missing(id);
    this.#drop(id, "leaving");
  }

  /** Drops entries that were missing for too long; returns their ids. */
  sweep(now: number): readonly string[] {
    const lapsed = [...this.#states.values()]
      .filter(({ lapsesAt }) => lapsesAt !== undefined && lapsesAt <= now)
      .map(({ entry }) => entry.id);
    for (const id of lapsed) this.#drop(id, "leaving");
    return lapsed;
  }

  /** Takes in that the list was away; what is listed again is watched anew. */
  listReturned(now: number): void {
    this.#returns.restart(now);
  }

  /** Uses endpoints again that have been listed again since `since`. */
  readmit(since: number): readonly EndpointEntry[] {
    const found = this.#returns.takeListedSince(since);
    for (const entry of found) {
      this.#left.delete(entry.id);
      // What it said of being cold counts from when it was listed.
      this.#add(entry, since);
    }
    return found;
  }

  registerMissing(listener: MissingListener): () => void {
    this.#missingListeners.add(listener);
    return () => this.#missingListeners.delete(listener);
  }

  registerGone(listener: EndpointGoneListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #putAgain(entry: EndpointEntry, now: number): EndpointPutOutcome {
    if (entry.isDraining) this.#returns.forget(entry.id);
    else if (this.#returns.listed(entry, now)) return "listed_again";
    return "has_left";
  }

  #renew(entry: EndpointEntry, now: number): void {
    const known = this.#states.get(entry.id);
    if (known === undefined) return;
    if (known.entry.service !== entry.service) {
      this.#drop(entry.id);
      this.#add(entry, now);
      return;
    }
    known.entry = entry;
    known.lapsesAt = undefined;
    this.#takeFacts(known, now);
  }

  #takeFacts(state: EndpointState, now: number): void {
    const { zone, coldMilliseconds = 0 } = state.entry;
    state.isEvacuated = this.#evacuated.has(zone);
    state.tellCold(coldMilliseconds, now);
  }

  #add(entry: EndpointEntry, now: number): void {
    this.#returns.forget(entry.id);
    const state = new EndpointState(entry);
    this.#takeFacts(state, now);
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
