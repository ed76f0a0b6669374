import type { EndpointEntry } from "./endpoint_entry.ts";

/** One incarnation of an endpoint, from its start to its end. */
export type EndpointIncarnation = Pick<EndpointEntry, "id" | "bornAt">;

interface RemovedEndpoint {
  readonly bornAt: number;
  /** The entry that is listed again, and the start of its observation. */
  listed:
    | { readonly entry: EndpointEntry; readonly since: number }
    | undefined;
}

/**
 * Tracks endpoints that were removed because their entry was missing and that
 * are listed again.
 *
 * While the list can be read, writes of endpoints may be late or lost, so that
 * entries of live endpoints expire and reappear later. Without this tracker
 * these endpoints would get no work for the rest of their incarnation. A
 * heartbeat in flight while its endpoint leaves can also list it again; such an
 * entry expires, so only an entry that stays longer proves a live endpoint.
 */
export class ReturnTracker {
  readonly #removed = new Map<string, RemovedEndpoint>();

  get ids(): readonly string[] {
    return [...this.#removed.keys()];
  }

  /** Starts tracking an incarnation that was removed as missing. */
  trackRemoved({ id, bornAt }: EndpointIncarnation): void {
    this.#removed.set(id, { bornAt, listed: undefined });
  }

  /** Stops tracking an endpoint that reported leaving or has ended. */
  untrack(id: string): void {
    this.#removed.delete(id);
  }

  /** Records an entry; returns true if its observation starts now. */
  recordListed(entry: EndpointEntry, now: number): boolean {
    const removed = this.#removed.get(entry.id);
    if (removed?.bornAt !== entry.bornAt) return false;
    const since = removed.listed?.since ?? now;
    const isFirst = removed.listed === undefined;
    removed.listed = { entry, since };
    return isFirst;
  }

  /** Records that an entry is missing again. */
  recordMissing(id: string): void {
    const removed = this.#removed.get(id);
    if (removed !== undefined) removed.listed = undefined;
  }

  /**
   * Restarts all observation periods, because no expiry was visible meanwhile.
   */
  restartPeriods(now: number): void {
    for (const removed of this.#removed.values()) {
      if (removed.listed !== undefined) {
        removed.listed = {
          entry: removed.listed.entry,
          since: now,
        };
      }
    }
  }

  /** Removes and returns the entries that have been listed since `since`. */
  removeListedSince(since: number): readonly EndpointEntry[] {
    const found = [...this.#removed.values()].flatMap((
      { listed },
    ) => listed !== undefined && listed.since <= since ? [listed.entry] : []);
    for (const { id } of found) this.#removed.delete(id);
    return found;
  }
}
