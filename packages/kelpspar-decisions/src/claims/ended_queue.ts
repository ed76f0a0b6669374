import type { LedgerEnding, LedgerEntry } from "./ledger_entry.ts";

const MINIMUM_COMPACTION_LENGTH = 1_024;

interface QueuedEntry {
  readonly entry: LedgerEntry;
  /** Ending of the entry when it was queued. */
  readonly ending: LedgerEnding;
}

/**
 * Queue of ended entries in the order they ended. A Map would keep that order
 * too, but finding its first entry iterates over all entries deleted before it.
 */
export class EndedQueue {
  #items: QueuedEntry[] = [];
  #head = 0;

  /** Queues an entry; it is skipped once its ending is replaced. */
  add(entry: LedgerEntry): void {
    const { ending } = entry;
    if (ending !== undefined) this.#items.push({ entry, ending });
  }

  /** The queued entry that ended first. */
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
    if (this.#head < MINIMUM_COMPACTION_LENGTH) return;
    if (this.#head * 2 < this.#items.length) return;
    this.#items = this.#items.slice(this.#head);
    this.#head = 0;
  }
}
