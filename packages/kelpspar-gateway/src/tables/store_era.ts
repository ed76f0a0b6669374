import type { TimerService } from "kelpspar-shared";
import type { AnomalyLog } from "../log/anomaly_log.ts";
import type { EraWord } from "./table_store.ts";

/** Who told of an era. */
export type EraSource = "store" | "daemon";

/** The store came back from an older copy. */
export interface EraChange {
  readonly before: number;
  readonly after: number;
  readonly source: EraSource;
}

/** Told when the store came back from an older copy. */
export type EraListener = (change: EraChange) => void;

/** What an era is followed with. */
export interface StoreEraOptions {
  readonly timer: TimerService;
  readonly anomalies: Pick<AnomalyLog, "note">;
}

/**
 * Which of its lives the store is in. When it comes back from an older copy,
 * versions go back and are given out again, so that what was learned of
 * versions, positions in feeds and absences says nothing any more: a row that
 * is news looks like a stale read of an older one. Every answer tells the era;
 * when it rises, listeners forget all that. Daemons tell each other, since one
 * that waits for a change may notice seconds later.
 *
 * Answers of the era before may still arrive. They are told by when their call
 * began: one that began after the present era was known, and is answered from
 * an earlier one, shows that the store's count itself went back.
 */
export class StoreEra {
  readonly #options: StoreEraOptions;
  readonly #listeners = new Set<EraListener>();
  #current: number | undefined;
  /** When the present era became known; monotonic milliseconds. */
  #knownSince = Number.NEGATIVE_INFINITY;
  /** Daemons' word up to here is void: the store itself told of less. */
  #deniedUpTo = Number.NEGATIVE_INFINITY;

  constructor(options: StoreEraOptions) {
    this.#options = options;
  }

  /** Undefined until the store, or a daemon, has told one. */
  get current(): number | undefined {
    return this.#current;
  }

  /**
   * Takes in an answer of the store to a call that began at `startedAt`;
   * `late` when it counts for nothing.
   */
  answered(word: EraWord, startedAt: number): "valid" | "late" {
    const { anomalies } = this.#options;
    if (word === "invalid") anomalies.note("era_invalid");
    if (word === "missing" && this.#current !== undefined) {
      anomalies.note("era_missing", { era: this.#current });
    }
    if (typeof word !== "number") return "valid";
    if (this.#current === undefined || word >= this.#current) {
      this.#move(word, "store");
      return "valid";
    }
    if (startedAt <= this.#knownSince) {
      anomalies.note("era_late_answer", { era: this.#current, told: word });
      return "late";
    }
    anomalies.note("era_fell", { era: this.#current, told: word });
    this.#deniedUpTo = this.#current;
    this.#move(word, "store");
    return "valid";
  }

  /** Takes in what a daemon tells; `earlier` when it knows less. */
  told(era: number | null | undefined): "current" | "earlier" {
    if (era === null || era === undefined) {
      return this.#current === undefined ? "current" : "earlier";
    }
    if (era > (this.#current ?? Number.NEGATIVE_INFINITY)) {
      if (era <= this.#deniedUpTo) {
        this.#options.anomalies.note("era_denied", { told: era });
      } else this.#move(era, "daemon");
    }
    return era < (this.#current ?? era) ? "earlier" : "current";
  }

  registerListener(listener: EraListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #move(after: number, source: EraSource): void {
    const before = this.#current;
    if (before === after) return;
    this.#current = after;
    this.#knownSince = this.#options.timer.now();
    if (before === undefined) return;
    for (const listener of this.#listeners) {
      listener({ before, after, source });
    }
  }
}
