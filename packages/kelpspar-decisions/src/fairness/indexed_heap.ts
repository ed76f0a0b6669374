/** How a heap orders its items and stores their places (array indexes). */
export interface IndexedHeapOptions<Item> {
  /** True if `first` is removed before `second`. */
  readonly before: (first: Item, second: Item) => boolean;
  /** Reads the place stored by `setPlace`. */
  readonly placeOf: (item: Item) => number;
  /** Stores an item's place, or -1 when it leaves the heap. */
  readonly setPlace: (item: Item, place: number) => void;
}

const NOT_IN_HEAP = -1;

/**
 * Binary heap whose items store their place, so that any item can be removed or
 * moved in O(log n) without a search or an allocation.
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

  /** First item. */
  peek(): Item | undefined {
    return this.#items[0];
  }

  has(item: Item): boolean {
    return this.#options.placeOf(item) !== NOT_IN_HEAP;
  }

  /** Items in no particular order. */
  values(): readonly Item[] {
    return this.#items;
  }

  push(item: Item): void {
    this.#siftUp(item, this.#items.length);
  }

  /** Removes an item at any position. */
  remove(item: Item): void {
    const place = this.#options.placeOf(item);
    if (place === NOT_IN_HEAP) return;
    const last = this.#items.pop();
    this.#options.setPlace(item, NOT_IN_HEAP);
    if (last === undefined || last === item) return;
    this.#restoreOrder(last, place);
  }

  /** Moves an item whose order changed to its new position. */
  update(item: Item): void {
    const place = this.#options.placeOf(item);
    if (place !== NOT_IN_HEAP) this.#restoreOrder(item, place);
  }

  /** Restores the order after many items changed, in O(n). */
  rebuild(): void {
    for (let place = (this.#items.length >> 1) - 1; place >= 0; place--) {
      const item = this.#items[place];
      if (item !== undefined) this.#siftDown(item, place);
    }
  }

  #restoreOrder(item: Item, place: number): void {
    const parent = this.#items[(place - 1) >> 1];
    const movesUp = place > 0 && parent !== undefined &&
      this.#options.before(item, parent);
    if (movesUp) this.#siftUp(item, place);
    else this.#siftDown(item, place);
  }

  #siftUp(item: Item, from: number): void {
    let place = from;
    while (place > 0) {
      const parentIndex = (place - 1) >> 1;
      const parent = this.#items[parentIndex];
      if (parent === undefined || !this.#options.before(item, parent)) break;
      this.#put(parent, place);
      place = parentIndex;
    }
    this.#put(item, place);
  }

  #siftDown(item: Item, from: number): void {
    let place = from;
    for (;;) {
      const childIndex = this.#firstChild(place);
      const child = this.#items[childIndex];
      if (child === undefined || !this.#options.before(child, item)) break;
      this.#put(child, place);
      place = childIndex;
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
