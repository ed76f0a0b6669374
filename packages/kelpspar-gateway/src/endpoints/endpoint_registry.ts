import type { EndpointEntry } from "./endpoint_entry.ts";
import type { LearnedSpeed } from "../load/learned_speed.ts";
import type { EndpointIncarnation } from "./return_tracker.ts";
import { fromLevel } from "../load/learned_speed.ts";
import { LearnedSpeeds } from "../load/learned_speeds.ts";
import { ServiceLoads } from "../load/service_loads.ts";
import { EndpointState } from "./endpoint_state.ts";
import { ReturnTracker } from "./return_tracker.ts";

/**
 * Why an endpoint gets no more new work: it is leaving and finishes its work in
 * progress, or its incarnation is over.
 */
export type EndpointGoneCause = "leaving" | "over";

/** Called when an endpoint gets no more new work. */
export type EndpointGoneListener = (
  id: string,
  cause: EndpointGoneCause,
  entry: EndpointEntry,
) => void;

/** Called when an endpoint is added that may get new work. */
export type EndpointListedListener = (entry: EndpointEntry) => void;

/** Called when an endpoint is found that is leaving already. */
export type EndpointLeavingFoundListener = (entry: EndpointEntry) => void;

/** Called when the evacuated availability zones are set. */
export type EvacuationListener = () => void;

/** Called when an entry is missing that may reappear. */
export type MissingListener = () => void;

/** Outcome of upserting an entry. */
export type EndpointUpsertOutcome =
  | "listed"
  | "renewed"
  | "leaving"
  /** This incarnation of the endpoint was removed before. */
  | "has_left"
  /** The endpoint was removed as missing, and is listed again. */
  | "listed_again"
  | "earlier_life";

/**
 * An endpoint that was restarted, or whose zone is no longer evacuated, may be
 * cold and reports this with its next heartbeat. It is presumed cold until
 * then.
 */
const PRESUMED_COLD_MILLISECONDS = 3_000;

/**
 * The endpoints that may get work, by service. Leaving is final for an
 * incarnation of an endpoint: a stale list, or one from a recovered store, must
 * not re-add an endpoint that has reported leaving, because it may exit at any
 * moment. An endpoint whose entry was only missing may be listed again. An
 * endpoint that restarts under its id is a new endpoint: it has lost its
 * results and cached prompts, and state of the earlier incarnation would lead
 * to requests that refer to them.
 */
export class EndpointRegistry {
  /** Speeds of endpoints as learned by all daemons. */
  readonly speeds = new LearnedSpeeds();
  readonly loads = new ServiceLoads((load, now) =>
    this.speeds.learn(load, now)
  );
  readonly #states = new Map<string, EndpointState>();
  readonly #statesByService = new Map<string, Set<EndpointState>>();
  /** Start of the last incarnation that left or was replaced, by id. */
  readonly #retiredBornAt = new Map<string, number>();
  readonly #returning = new ReturnTracker();
  readonly #goneListeners = new Set<EndpointGoneListener>();
  readonly #listedListeners = new Set<EndpointListedListener>();
  readonly #leavingFoundListeners = new Set<EndpointLeavingFoundListener>();
  readonly #evacuationListeners = new Set<EvacuationListener>();
  readonly #missingListeners = new Set<MissingListener>();
  #evacuatedZones: ReadonlySet<string> = new Set();

  get size(): number {
    return this.#states.size;
  }

  get ids(): readonly string[] {
    return [...this.#states.keys()];
  }

  /** Endpoints that were removed as missing and may be listed again. */
  get returningIds(): readonly string[] {
    return this.#returning.ids;
  }

  find(id: string): EndpointState | undefined {
    return this.#states.get(id);
  }

  /** Endpoints of `service` that may get new work. */
  availableFor(service: string): readonly EndpointState[] {
    const all = [...this.#statesByService.get(service) ?? []];
    return this.#evacuatedZones.size === 0
      ? all
      : all.filter((state) => !state.isEvacuated);
  }

  /** Whether `service` has endpoints and all of them are in evacuated zones. */
  isEvacuated(service: string): boolean {
    const all = [...this.#statesByService.get(service) ?? []];
    return all.length > 0 && all.every((state) => state.isEvacuated);
  }

  /** Availability zones whose endpoints get no new work. */
  get evacuatedZones(): ReadonlySet<string> {
    return this.#evacuatedZones;
  }

  /** Replaces the set of evacuated availability zones. */
  setEvacuatedZones(zones: ReadonlySet<string>, now: number): void {
    this.#evacuatedZones = zones;
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

  /** True while an entry is missing that may reappear. */
  get hasMissing(): boolean {
    return [...this.#states.values()].some((state) =>
      state.expiresAt !== undefined
    );
  }

  upsert(entry: EndpointEntry, now: number): EndpointUpsertOutcome {
    const { id, bornAt } = entry;
    const retiredBornAt = this.#retiredBornAt.get(id) ??
      Number.NEGATIVE_INFINITY;
    if (bornAt === retiredBornAt) return this.#upsertRetired(entry, now);
    const known = this.#states.get(id);
    // The entry is of an earlier incarnation and arrived late.
    const latestBornAt = Math.max(
      retiredBornAt,
      known?.entry.bornAt ?? retiredBornAt,
    );
    if (bornAt < latestBornAt) return "earlier_life";
    if (known !== undefined && bornAt > known.entry.bornAt) {
      known.end();
      this.retire(known.entry);
    }
    if (entry.isDraining) {
      this.#retireLeaving(entry);
      return "leaving";
    }
    if (this.#states.has(id)) {
      this.#renew(entry, now);
      return "renewed";
    }
    this.#add(entry, now);
    return "listed";
  }

  /** Records the start time that an endpoint reported for its incarnation. */
  reportIncarnation({ id, bornAt }: EndpointIncarnation, now: number): void {
    const known = this.#states.get(id);
    if (known === undefined) return;
    const isNew = bornAt > known.entry.bornAt;
    this.upsert({ ...known.entry, bornAt }, now);
    if (!isNew) return;
    this.#states.get(id)?.presumeCold(now + PRESUMED_COLD_MILLISECONDS);
  }

  /** Removes an incarnation permanently; a later incarnation stays. */
  retire(
    { id, bornAt }: EndpointIncarnation,
    cause: EndpointGoneCause = "over",
  ): void {
    const retiredBornAt = this.#retiredBornAt.get(id) ??
      Number.NEGATIVE_INFINITY;
    this.#retiredBornAt.set(id, Math.max(retiredBornAt, bornAt));
    this.#returning.untrack(id);
    const known = this.#states.get(id);
    if (known === undefined || known.entry.bornAt > bornAt) return;
    this.#remove(id, cause);
  }

  /**
   * Records that an entry is missing and may reappear until `graceEndsAt`; if
   * that is undefined, its endpoint has left.
   */
  reportMissing(id: string, graceEndsAt: number | undefined): void {
    this.#returning.recordMissing(id);
    const state = this.#states.get(id);
    if (state === undefined) return;
    if (graceEndsAt !== undefined) {
      state.expiresAt ??= graceEndsAt;
      for (const listener of this.#missingListeners) listener();
      return;
    }
    // Counts as leaving: if the endpoint crashed, its calls fail anyway.
    this.retire(state.entry, "leaving");
    this.#returning.trackRemoved(state.entry);
  }

  /** Extends the grace period of an endpoint whose entry is missing. */
  extendGracePeriod(id: string, until: number): void {
    const state = this.#states.get(id);
    if (state?.expiresAt === undefined) return;
    state.expiresAt = Math.max(state.expiresAt, until);
  }

  /**
   * Removes an endpoint while its entry can't be read, because the entry may
   * announce that the endpoint is leaving.
   */
  suspend(id: string): void {
    this.#returning.recordMissing(id);
    this.#remove(id, "leaving");
  }

  /** Removes endpoints whose grace period is over; returns their ids. */
  removeExpired(now: number): readonly string[] {
    const expired = [...this.#states.values()]
      .filter(({ expiresAt }) => expiresAt !== undefined && expiresAt <= now)
      .map(({ entry }) => entry.id);
    for (const id of expired) this.#remove(id, "leaving");
    return expired;
  }

  /** Restarts the observation of returning endpoints after a list outage. */
  restartReturnPeriods(now: number): void {
    this.#returning.restartPeriods(now);
  }

  /** Re-adds removed endpoints that have been listed again since `since`. */
  readmit(since: number): readonly EndpointEntry[] {
    const returned = this.#returning.removeListedSince(since);
    for (const entry of returned) {
      this.#retiredBornAt.delete(entry.id);
      // The reported cold time counts from when the entry was listed.
      this.#add(entry, since);
    }
    return returned;
  }

  /** Forgets failed and slow calls of all endpoints. */
  forgetFailures(): void {
    for (const state of this.#states.values()) state.forgetFailures();
  }

  /** Merges endpoint speeds that another daemon knows. */
  mergeSpeeds(page: readonly LearnedSpeed[], now: number): void {
    for (const [id, bornAt, level] of this.speeds.merge(page, now)) {
      const state = this.#states.get(id);
      if (state?.entry.bornAt !== bornAt) continue;
      state.load.assumeSpeed(fromLevel(level), now);
    }
  }

  registerMissing(listener: MissingListener): () => void {
    this.#missingListeners.add(listener);
    return () => this.#missingListeners.delete(listener);
  }

  registerListed(listener: EndpointListedListener): () => void {
    this.#listedListeners.add(listener);
    return () => this.#listedListeners.delete(listener);
  }

  registerGone(listener: EndpointGoneListener): () => void {
    this.#goneListeners.add(listener);
    return () => this.#goneListeners.delete(listener);
  }

  registerLeavingFound(listener: EndpointLeavingFoundListener): () => void {
    this.#leavingFoundListeners.add(listener);
    return () => this.#leavingFoundListeners.delete(listener);
  }

  #retireLeaving(entry: EndpointEntry): void {
    const isKnown = this.#states.has(entry.id);
    this.retire(entry, "leaving");
    if (isKnown) return;
    for (const listener of this.#leavingFoundListeners) listener(entry);
  }

  #upsertRetired(entry: EndpointEntry, now: number): EndpointUpsertOutcome {
    if (entry.isDraining) this.#returning.untrack(entry.id);
    else if (this.#returning.recordListed(entry, now)) return "listed_again";
    return "has_left";
  }

  #renew(entry: EndpointEntry, now: number): void {
    const known = this.#states.get(entry.id);
    if (known === undefined) return;
    const isOther = known.entry.service !== entry.service ||
      known.entry.version !== entry.version;
    if (isOther) {
      this.#remove(entry.id);
      this.#add(entry, now);
      return;
    }
    known.entry = entry;
    known.expiresAt = undefined;
    this.#applyEntry(known, now);
  }

  #applyEntry(state: EndpointState, now: number): void {
    const { zone, coldMilliseconds = 0 } = state.entry;
    state.isEvacuated = this.#evacuatedZones.has(zone);
    state.setCold(coldMilliseconds, now);
  }

  #add(entry: EndpointEntry, now: number): void {
    this.#returning.untrack(entry.id);
    const service = this.loads.of(entry.service);
    const state = new EndpointState(entry, service);
    service.members.add(state.load);
    const speed = this.speeds.speedOf(entry);
    if (speed !== undefined) state.load.assumeSpeed(speed, now);
    this.#applyEntry(state, now);
    this.#states.set(entry.id, state);
    const states = this.#statesByService.get(entry.service);
    if (states === undefined) {
      this.#statesByService.set(entry.service, new Set([state]));
    } else states.add(state);
    for (const listener of this.#listedListeners) listener(entry);
  }

  #remove(id: string, cause: EndpointGoneCause = "over"): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    this.#states.delete(id);
    state.load.service.members.delete(state.load);
    this.#statesByService.get(state.entry.service)?.delete(state);
    for (const listener of this.#goneListeners) {
      listener(id, cause, state.entry);
    }
  }
}
