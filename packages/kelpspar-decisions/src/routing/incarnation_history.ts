const RETIRED_KEPT = 8;

/** What a sighting of an incarnation was. */
export type IncarnationSighting = "first" | "same" | "renewed" | "retired";

/**
 * Orders the incarnations of one thing by when each was first seen. What goes
 * wrong: a lagging source still names the incarnation before the present one.
 * It would look like a replacement, and what was marked would start clean. So
 * an incarnation that was replaced is remembered and never comes back.
 */
export class IncarnationHistory {
  #current: string | undefined;
  #retired: string[] = [];

  /** The newest incarnation seen; undefined before the first. */
  get current(): string | undefined {
    return this.#current;
  }

  /** Notes a sighting; only `first` and `renewed` change what is current. */
  see(incarnation: string): IncarnationSighting {
    if (incarnation === this.#current) return "same";
    if (this.#retired.includes(incarnation)) return "retired";
    const previous = this.#current;
    this.#current = incarnation;
    if (previous === undefined) return "first";
    this.#retired.push(previous);
    if (this.#retired.length > RETIRED_KEPT) this.#retired.shift();
    return "renewed";
  }
}
