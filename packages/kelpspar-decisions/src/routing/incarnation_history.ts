const MAXIMUM_RETIRED = 8;

/** How an observed incarnation relates to those before it. */
export type IncarnationObservation = "first" | "same" | "renewed" | "retired";

/**
 * Orders the incarnations of one VM or process by first observation. A stale
 * source may still report the previous incarnation, which would look like a
 * replacement and clear the marks of the current one. Replaced incarnations are
 * therefore remembered and never become current again.
 */
export class IncarnationHistory {
  #current: string | undefined;
  #retired: string[] = [];

  /** The newest incarnation observed; undefined before the first. */
  get current(): string | undefined {
    return this.#current;
  }

  /** Records an observation; `first` and `renewed` change the current one. */
  observe(incarnation: string): IncarnationObservation {
    if (incarnation === this.#current) return "same";
    if (this.#retired.includes(incarnation)) return "retired";
    const previous = this.#current;
    this.#current = incarnation;
    if (previous === undefined) return "first";
    this.#retired.push(previous);
    if (this.#retired.length > MAXIMUM_RETIRED) this.#retired.shift();
    return "renewed";
  }
}
