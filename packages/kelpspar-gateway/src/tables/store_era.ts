import type { TimerService } from "kelpspar-shared";
import type { AnomalyLog } from "../log/anomaly_log.ts";
import type { ReportedEra } from "./table_store.ts";

/** Who reported an era. */
export type EraSource = "store" | "daemon";

/** A restore of the store from an older copy. */
export interface EraChange {
  readonly before: number;
  readonly after: number;
  readonly source: EraSource;
}

/** Called when the store was restored from an older copy. */
export type EraListener = (change: EraChange) => void;

/** Options of `StoreEra`. */
export interface StoreEraOptions {
  readonly timer: TimerService;
  readonly anomalies: Pick<AnomalyLog, "note">;
}

/**
 * The store's current era, which rises with each restore from an older copy.
 * A restore resets versions to earlier values, which are then assigned again.
 * Known versions, feed positions and missing rows are no longer valid: a new
 * row would look like a stale read of an older one. Every answer contains the
 * era; when it rises, listeners discard that state. Daemons also report the era
 * to each other, since one that waits for a change may notice seconds later.
 *
 * Answers of the previous era may still arrive. The start of their call
 * identifies them: if a call began after the current era became known and is
 * answered from an earlier one, the store's era itself went back.
 */
export class StoreEra {
  readonly #options: StoreEraOptions;
  readonly #listeners = new Set<EraListener>();
  #current: number | undefined;
  #knownSince = Number.NEGATIVE_INFINITY;
  #changedAt = Number.NEGATIVE_INFINITY;
  /** Eras up to this one are rejected from daemons: the store's is lower. */
  #rejectedUpTo = Number.NEGATIVE_INFINITY;

  constructor(options: StoreEraOptions) {
    this.#options = options;
  }

  /** Undefined until the store or a daemon has reported an era. */
  get current(): number | undefined {
    return this.#current;
  }

  /**
   * When the current era became known, monotonic milliseconds; minus infinity
   * while none is.
   */
  get knownSince(): number {
    return this.#knownSince;
  }

  /** When the era last changed; minus infinity if it never did. */
  get changedAt(): number {
    return this.#changedAt;
  }

  /**
   * Processes the era of a store answer to a call that began at `startedAt`;
   * returns `late` when the answer must be discarded.
   */
  checkAnswer(reportedEra: ReportedEra, startedAt: number): "valid" | "late" {
    const { anomalies } = this.#options;
    if (reportedEra === "invalid") anomalies.note("era_invalid");
    if (reportedEra === "missing" && this.#current !== undefined) {
      anomalies.note("era_missing", { era: this.#current });
    }
    if (typeof reportedEra !== "number") return "valid";
    if (this.#current === undefined || reportedEra >= this.#current) {
      this.#changeTo(reportedEra, "store");
      return "valid";
    }
    if (startedAt <= this.#knownSince) {
      anomalies.note("era_late_answer", {
        era: this.#current,
        told: reportedEra,
      });
      return "late";
    }
    anomalies.note("era_fell", { era: this.#current, told: reportedEra });
    this.#rejectedUpTo = this.#current;
    this.#changeTo(reportedEra, "store");
    return "valid";
  }

  /** Processes the era of another daemon; `earlier` when it is behind. */
  told(era: number | null | undefined): "current" | "earlier" {
    if (era === null || era === undefined) {
      return this.#current === undefined ? "current" : "earlier";
    }
    if (era > (this.#current ?? Number.NEGATIVE_INFINITY)) {
      if (era <= this.#rejectedUpTo) {
        this.#options.anomalies.note("era_denied", { told: era });
      } else this.#changeTo(era, "daemon");
    }
    return era < (this.#current ?? era) ? "earlier" : "current";
  }

  registerListener(listener: EraListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #changeTo(after: number, source: EraSource): void {
    const before = this.#current;
    if (before === after) return;
    this.#current = after;
    this.#knownSince = this.#options.timer.now();
    if (before === undefined) return;
    this.#changedAt = this.#knownSince;
    for (const listener of this.#listeners) {
      listener({ before, after, source });
    }
  }
}
