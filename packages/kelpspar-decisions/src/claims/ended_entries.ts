import type { LedgerEntry } from "./ledger_entry.ts";
import { EndedQueue } from "./ended_queue.ts";
import { estimateResultBytes } from "./ledger_entry.ts";

const MAXIMUM_DROPS_PER_CALL = 64;

/**
 * Ended requests of a ledger, oldest first. Entries of free keys are removed as
 * a whole. Entries of bound keys first lose their result; the entry itself is
 * removed with its epoch, in one step, so that no call iterates over all keys.
 */
export class EndedEntries {
  readonly #free = new Map<string, LedgerEntry>();
  readonly #bound = new Map<number, Map<string, LedgerEntry>>();
  /** Entries whose memory can still be reduced. */
  readonly #droppable = new EndedQueue();
  #bytes = 0;
  readonly #epochBytes = new Map<number, number>();

  /** Memory used by all entries, bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  get(id: string, epoch: number | undefined): LedgerEntry | undefined {
    if (epoch === undefined) return this.#free.get(id);
    return this.#bound.get(epoch)?.get(id);
  }

  add(entry: LedgerEntry): void {
    const { id, epoch } = entry;
    const resultBytes = estimateResultBytes(entry.ending?.result);
    this.#bytes += entry.bytes + resultBytes;
    if (epoch === undefined) {
      this.#free.set(id, entry);
      this.#droppable.add(entry);
      return;
    }
    const entries = this.#bound.get(epoch) ?? new Map<string, LedgerEntry>();
    this.#bound.set(epoch, entries.set(id, entry));
    const bytes = this.#epochBytes.get(epoch) ?? 0;
    this.#epochBytes.set(epoch, bytes + entry.bytes);
    if (resultBytes > 0) this.#droppable.add(entry);
  }

  /**
   * Reduces the memory of the oldest entry; false if no entry can be reduced.
   */
  dropOldest(): boolean {
    const entry = this.#droppable.first();
    if (entry === undefined) return false;
    this.#drop(entry);
    return true;
  }

  /**
   * Drops entries that ended at or before `limit`, a limited number per call.
   */
  dropEndedBefore(limit: number): void {
    for (let dropped = 0; dropped < MAXIMUM_DROPS_PER_CALL; dropped++) {
      const entry = this.#droppable.first();
      if (entry?.ending === undefined || entry.ending.endedAt > limit) return;
      this.#drop(entry);
    }
  }

  /** Removes the bound keys of all epochs before `epoch`. */
  dropEpochsBefore(epoch: number): void {
    for (const expiredEpoch of [...this.#bound.keys()]) {
      if (expiredEpoch >= epoch) continue;
      this.#bound.delete(expiredEpoch);
      this.#bytes -= this.#epochBytes.get(expiredEpoch) ?? 0;
      this.#epochBytes.delete(expiredEpoch);
    }
  }

  /** Removes one entry. */
  remove(entry: LedgerEntry): void {
    const { id, ending, epoch, bytes } = entry;
    this.#bytes -= estimateResultBytes(ending?.result);
    entry.ending = undefined;
    if (epoch === undefined) {
      this.#free.delete(id);
      this.#bytes -= bytes;
    } else if (this.#bound.get(epoch)?.delete(id)) {
      this.#bytes -= bytes;
      const epochBytes = this.#epochBytes.get(epoch) ?? 0;
      this.#epochBytes.set(epoch, epochBytes - bytes);
    }
  }

  /**
   * Reduces one entry: a free key is removed; a bound key keeps the record that
   * it ran.
   */
  #drop(entry: LedgerEntry): void {
    const { ending, epoch } = entry;
    if (epoch === undefined || ending === undefined) {
      this.remove(entry);
      return;
    }
    this.#bytes -= estimateResultBytes(ending.result);
    entry.ending = { ...ending, result: undefined, isDropped: true };
  }
}
