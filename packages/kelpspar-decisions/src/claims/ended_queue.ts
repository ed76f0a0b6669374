import type { LedgerEnding, LedgerEntry } from "./ledger_entry.ts";

const FEWEST_TO_COMPACT = 1_024;

interface QueuedEntry {
  readonly entry: LedgerEntry;
  /** How it had ended when it was queued. */
  readonly ending: LedgerEnding;
}

/**
 * Ended entries in the order they ended. A Map would keep that order too, but
 * finding its first entry walks over all that were deleted before it.
 */
export class EndedQueue {
  #items: QueuedEntry[] = [];
  #head = 0;

  /** Queues an entry; it leaves the queue once its ending is replaced. */
  add(entry: LedgerEntry): void {
    const { ending } = entry;
    if (ending !== undefined) this.#items.push({ entry, ending });
  }

  /** The entry that ended first, and is still in the queue. */
  first(): LedgerEntry | undefined {
    for (;;) {
      const item = this.#items[this.#head];
      if (item === undefined) return undefined;
      if (item.entry.ending === item.ending) return item.entry;
      this.#head++;
      this.#compact();
    }
  }

  #compact(): void {
    if (this.#head < FEWEST_TO_COMPACT) return;
    if (this.#head * 2 < this.#items.length) return;
    this.#items = this.#items.slice(this.#head);
    this.#head = 0;
  }
}
