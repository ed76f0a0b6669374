import type { LedgerEntry } from "./ledger_entry.ts";
import { EndedQueue } from "./ended_queue.ts";
import { estimateResultBytes } from "./ledger_entry.ts";

const MOST_DROPPED_A_CALL = 64;

/**
 * The ended requests of a ledger, oldest first. Free keys are dropped whole.
 * Bound keys lose their result first; the entry itself goes with its epoch,
 * in one step, so that no call ever walks through all keys.
 */
export class EndedEntries {
  readonly #free = new Map<string, LedgerEntry>();
  readonly #bound = new Map<number, Map<string, LedgerEntry>>();
  /** Entries that can still be made smaller. */
  readonly #droppable = new EndedQueue();
  #bytes = 0;
  readonly #epochBytes = new Map<number, number>();

  /** What all entries take, bytes. */
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

  /** Makes the oldest entry smaller; false when none can be. */
  dropOldest(): boolean {
    const entry = this.#droppable.first();
    if (entry === undefined) return false;
    this.#drop(entry);
    return true;
  }

  /** Drops what ended at or before `limit`, some of it now, the rest later. */
  dropEndedBefore(limit: number): void {
    for (let dropped = 0; dropped < MOST_DROPPED_A_CALL; dropped++) {
      const entry = this.#droppable.first();
      if (entry?.ending === undefined || entry.ending.endedAt > limit) return;
      this.#drop(entry);
    }
  }

  /** Forgets the bound keys of all epochs before `epoch`. */
  dropEpochsBefore(epoch: number): void {
    for (const lapsed of [...this.#bound.keys()]) {
      if (lapsed >= epoch) continue;
      this.#bound.delete(lapsed);
      this.#bytes -= this.#epochBytes.get(lapsed) ?? 0;
      this.#epochBytes.delete(lapsed);
    }
  }

  /** Forgets one entry. */
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

  /** Makes one entry smaller: a free key goes, a bound one stays as a fact. */
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
