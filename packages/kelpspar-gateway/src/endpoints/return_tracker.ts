import type { EndpointEntry } from "./endpoint_entry.ts";

/** One life of an endpoint, from a start to an end. */
export type EndpointLife = Pick<EndpointEntry, "id" | "bornAt">;

interface Return {
  readonly bornAt: number;
  /** What it is listed with again, and since when. */
  listed: { readonly entry: EndpointEntry; readonly since: number } | undefined;
}

/**
 * Endpoints that were taken out because their entry was missing, and are
 * listed again.
 *
 * Load: writes of endpoints come late or not at all while the list can be read,
 * so that entries of endpoints that live lapse and are back later. Without this
 * they get nothing for the rest of their life. A heartbeat that was under
 * way when its endpoint left can list it again as well; that entry lapses, so
 * that only one that stays longer shows a living endpoint.
 */
export class ReturnWatch {
  readonly #returns = new Map<string, Return>();

  get ids(): readonly string[] {
    return [...this.#returns.keys()];
  }

  /** Takes in that a life was taken out because its entry was missing. */
  missed({ id, bornAt }: EndpointLife): void {
    this.#returns.set(id, { bornAt, listed: undefined });
  }

  /** Takes in that an endpoint has said that it leaves, or is over. */
  forget(id: string): void {
    this.#returns.delete(id);
  }

  /** Takes in an entry; true when it is watched from now on. */
  listed(entry: EndpointEntry, now: number): boolean {
    const known = this.#returns.get(entry.id);
    if (known?.bornAt !== entry.bornAt) return false;
    const since = known.listed?.since ?? now;
    const isFirst = known.listed === undefined;
    known.listed = { entry, since };
    return isFirst;
  }

  /** Takes in that an entry is missing again. */
  missing(id: string): void {
    const known = this.#returns.get(id);
    if (known !== undefined) known.listed = undefined;
  }

  /** Counts anew: while the list was away none of them could be seen to lapse. */
  restart(now: number): void {
    for (const one of this.#returns.values()) {
      if (one.listed !== undefined) {
        one.listed = { entry: one.listed.entry, since: now };
      }
    }
  }

  /** Takes those out of the watch that have been listed since `since`. */
  takeListedSince(since: number): readonly EndpointEntry[] {
    const found = [...this.#returns.values()].flatMap(({ listed }) =>
      listed !== undefined && listed.since <= since ? [listed.entry] : []
    );
    for (const { id } of found) this.#returns.delete(id);
    return found;
  }
}
