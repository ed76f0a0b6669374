/** How a heap orders its items and where it keeps their places. */
export interface IndexedHeapOptions<Item> {
  /** True when `first` comes out before `second`. */
  readonly before: (first: Item, second: Item) => boolean;
  /** Reads the place that `setPlace` stored. */
  readonly placeOf: (item: Item) => number;
  /** Stores an item's place, or -1 when it leaves the heap. */
  readonly setPlace: (item: Item, place: number) => void;
}

const NO_PLACE = -1;

/**
 * A binary heap whose items know their place, so that any of them can be
 * removed or moved in O(log n) without a search and without an allocation.
 */
export class IndexedHeap<Item> {
  readonly #items: Item[] = [];
  readonly #options: IndexedHeapOptions<Item>;

  constructor(options: IndexedHeapOptions<Item>) {
    this.#options = options;
  }

  get size(): number {
    return this.#items.length;
  }

  /** The item that comes out first. */
  peek(): Item | undefined {
    return this.#items[0];
  }

  has(item: Item): boolean {
    return this.#options.placeOf(item) !== NO_PLACE;
  }

  /** The items in no particular order. */
  values(): readonly Item[] {
    return this.#items;
  }

  push(item: Item): void {
    this.#siftUp(item, this.#items.length);
  }

  /** Takes an item out, wherever it stands. */
  remove(item: Item): void {
    const place = this.#options.placeOf(item);
    if (place === NO_PLACE) return;
    const last = this.#items.pop();
    this.#options.setPlace(item, NO_PLACE);
    if (last === undefined || last === item) return;
    this.#settle(last, place);
  }

  /** Moves an item whose order changed to its new place. */
  update(item: Item): void {
    const place = this.#options.placeOf(item);
    if (place !== NO_PLACE) this.#settle(item, place);
  }

  /** Restores the order after many items changed, in O(n). */
  rebuild(): void {
    for (let place = (this.#items.length >> 1) - 1; place >= 0; place--) {
      const item = this.#items[place];
      if (item !== undefined) this.#siftDown(item, place);
    }
  }

  #settle(item: Item, place: number): void {
    const parent = this.#items[(place - 1) >> 1];
    const rises = place > 0 && parent !== undefined &&
      this.#options.before(item, parent);
    if (rises) this.#siftUp(item, place);
    else this.#siftDown(item, place);
  }

  #siftUp(item: Item, from: number): void {
    let place = from;
    while (place > 0) {
      const above = (place - 1) >> 1;
      const parent = this.#items[above];
      if (parent === undefined || !this.#options.before(item, parent)) break;
      this.#put(parent, place);
      place = above;
    }
    this.#put(item, place);
  }

  #siftDown(item: Item, from: number): void {
    let place = from;
    for (;;) {
      const below = this.#firstChild(place);
      const child = this.#items[below];
      if (child === undefined || !this.#options.before(child, item)) break;
      this.#put(child, place);
      place = below;
    }
    this.#put(item, place);
  }

  #firstChild(place: number): number {
    const left = 2 * place + 1;
    const first = this.#items[left];
    const second = this.#items[left + 1];
    if (first === undefined || second === undefined) return left;
    return this.#options.before(second, first) ? left + 1 : left;
  }

  #put(item: Item, place: number): void {
    this.#items[place] = item;
    this.#options.setPlace(item, place);
  }
}
