import type { EndpointLife } from "./return_tracker.ts";
import { hashText } from "kelpspar-decisions/routing";

/** A life of an endpoint that leaves, and how long ago it said so. */
export interface AgedLeaving extends EndpointLife {
  /** An age, since daemons' clocks differ. */
  readonly ageMilliseconds: number;
}

/** Told of a life that another daemon heard to be leaving. */
export type LeavingListener = (life: EndpointLife) => void;

/** Until then the list of endpoints has told all daemons, milliseconds. */
const KEPT_MILLISECONDS = 60_000;

/**
 * Lives of endpoints that said in an answer that they leave. The list of
 * endpoints may say otherwise for as long as the store is away.
 */
export class EndpointLeavings {
  readonly #toldAt = new Map<string, EndpointLife & { readonly at: number }>();
  readonly #listeners = new Set<LeavingListener>();
  #checksum = 0;

  /** 0 when none is kept; equal for daemons that know the same ones. */
  get checksum(): number {
    return this.#checksum;
  }

  /** Takes in what an answer said; false when it was known. */
  tell({ id, bornAt }: EndpointLife, at: number): boolean {
    const key = `${id} ${bornAt}`;
    if (this.#toldAt.has(key)) return false;
    this.#toldAt.set(key, { id, bornAt, at });
    this.#settle();
    return true;
  }

  /** What is known, for other daemons. */
  page(now: number): readonly AgedLeaving[] {
    this.#forget(now);
    return [...this.#toldAt.values()].map(({ id, bornAt, at }) => ({
      id,
      bornAt,
      ageMilliseconds: Math.max(0, now - at),
    }));
  }

  /** Takes in what another daemon knows; false when nothing of it is new. */
  take(page: readonly AgedLeaving[], now: number): boolean {
    let isNews = false;
    for (const { ageMilliseconds, ...life } of page) {
      if (ageMilliseconds >= KEPT_MILLISECONDS) continue;
      if (!this.tell(life, now - ageMilliseconds)) continue;
      isNews = true;
      for (const listener of this.#listeners) listener(life);
    }
    return isNews;
  }

  registerListener(listener: LeavingListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #forget(now: number): void {
    for (const [key, { at }] of this.#toldAt) {
      if (now - at >= KEPT_MILLISECONDS) this.#toldAt.delete(key);
    }
    this.#settle();
  }

  #settle(): void {
    this.#checksum = [...this.#toldAt.keys()]
      .reduce((sum, key) => (sum + hashText(key)) >>> 0, 0);
  }
}
