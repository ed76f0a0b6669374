/** Ids that several owners name; an id is present while one of them does. */
export class CountedIds {
  readonly #counts = new Map<string, number>();

  /** The ids that are present. */
  get ids(): Pick<ReadonlySet<string>, "has"> {
    return this.#counts;
  }

  add(ids: readonly string[] = []): void {
    for (const id of ids) this.#counts.set(id, (this.#counts.get(id) ?? 0) + 1);
  }

  remove(ids: readonly string[] = []): void {
    for (const id of ids) {
      const count = (this.#counts.get(id) ?? 0) - 1;
      if (count > 0) this.#counts.set(id, count);
      else this.#counts.delete(id);
    }
  }
}
