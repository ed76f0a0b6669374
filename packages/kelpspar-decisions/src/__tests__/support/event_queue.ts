/** An event and its time. */
export interface QueuedEvent<Value> {
  readonly at: number;
  readonly value: Value;
}

/** A queue of events in the order of their times. */
export class EventQueue<Value> {
  readonly #heap: QueuedEvent<Value>[] = [];

  push(at: number, value: Value): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push({ at, value });
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#timeOf(parent) <= at) break;
      this.#swap(index, parent);
      index = parent;
    }
  }

  pop(): QueuedEvent<Value> | undefined {
    const heap = this.#heap;
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) {
      return first;
    }
    heap[0] = last;
    for (let index = 0;;) {
      const left = 2 * index + 1;
      const child = this.#timeOf(left + 1) < this.#timeOf(left)
        ? left + 1
        : left;
      if (this.#timeOf(child) >= this.#timeOf(index)) return first;
      this.#swap(index, child);
      index = child;
    }
  }

  #timeOf(index: number): number {
    return this.#heap[index]?.at ?? Number.POSITIVE_INFINITY;
  }

  #swap(left: number, right: number): void {
    const heap = this.#heap;
    const moved = heap[left] as QueuedEvent<Value>;
    heap[left] = heap[right] as QueuedEvent<Value>;
    heap[right] = moved;
  }
}
