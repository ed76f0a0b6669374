/** Keys sorted by UTF-16 units, for scans. */
export class SortedKeys {
  readonly #keys: string[] = [];

  add(key: string): void {
    const index = this.#lowerBound(key);
    if (this.#keys[index] !== key) this.#keys.splice(index, 0, key);
  }

  delete(key: string): void {
    const index = this.#lowerBound(key);
    if (this.#keys[index] === key) this.#keys.splice(index, 1);
  }

  /** Lists at most `limit` keys with `prefix` that sort after `after`. */
  list(
    prefix: string,
    options: { readonly after?: string | undefined; readonly limit: number },
  ): string[] {
    const { after, limit } = options;
    const listed: string[] = [];
    let index = this.#lowerBound(
      after !== undefined && after > prefix ? after : prefix,
    );
    if (this.#keys[index] === after) index += 1;
    while (listed.length < limit) {
      const key = this.#keys[index];
      if (key === undefined || !key.startsWith(prefix)) break;
      listed.push(key);
      index += 1;
    }
    return listed;
  }

  #lowerBound(key: string): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#keys[middle] ?? "") < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
