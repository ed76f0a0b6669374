import type { EndpointIncarnation } from "./return_tracker.ts";
import { hashText } from "kelpspar-decisions/routing";

/** A leaving incarnation of an endpoint, and the age of its report. */
export interface AgedLeaving extends EndpointIncarnation {
  /** An age rather than a time, because daemons' clocks differ. */
  readonly ageMilliseconds: number;
}

/** Called for a leaving incarnation that another daemon reported. */
export type LeavingListener = (incarnation: EndpointIncarnation) => void;

/** Time within which the endpoint list informs all daemons. */
const RETENTION_MILLISECONDS = 60_000;

/**
 * Incarnations of endpoints that reported leaving in a response. The endpoint
 * list may not show this while the store is unavailable.
 */
export class EndpointLeavings {
  readonly #reported = new Map<
    string,
    EndpointIncarnation & { readonly at: number }
  >();
  readonly #listeners = new Set<LeavingListener>();
  #checksum = 0;

  /** 0 without any leaving; equal for daemons with the same leavings. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Records a reported leaving; returns false if it was known. */
  record({ id, bornAt }: EndpointIncarnation, at: number): boolean {
    const key = `${id} ${bornAt}`;
    if (this.#reported.has(key)) return false;
    this.#reported.set(key, { id, bornAt, at });
    this.#updateChecksum();
    return true;
  }

  /** The known leavings, for other daemons. */
  page(now: number): readonly AgedLeaving[] {
    this.#removeExpired(now);
    return [...this.#reported.values()].map(({ id, bornAt, at }) => ({
      id,
      bornAt,
      ageMilliseconds: Math.max(0, now - at),
    }));
  }

  /** Merges another daemon's leavings; returns false if none is new. */
  merge(page: readonly AgedLeaving[], now: number): boolean {
    let hasChanged = false;
    for (const { ageMilliseconds, ...incarnation } of page) {
      if (ageMilliseconds >= RETENTION_MILLISECONDS) continue;
      if (!this.record(incarnation, now - ageMilliseconds)) continue;
      hasChanged = true;
      for (const listener of this.#listeners) listener(incarnation);
    }
    return hasChanged;
  }

  registerListener(listener: LeavingListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #removeExpired(now: number): void {
    for (const [key, { at }] of this.#reported) {
      if (now - at >= RETENTION_MILLISECONDS) this.#reported.delete(key);
    }
    this.#updateChecksum();
  }

  #updateChecksum(): void {
    this.#checksum = [...this.#reported.keys()]
      .reduce((sum, key) => (sum + hashText(key)) >>> 0, 0);
  }
}
