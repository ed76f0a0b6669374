import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { StoreEra } from "../tables/store_era.ts";
import type { TableRow, TableStore } from "../tables/table_store.ts";
import type { Quarantine } from "./quarantine.ts";
import { retryUntilSuccess } from "../tables/retry_until_success.ts";
import {
  crashMessageSchema,
  fromCrashMessage,
  toCrashMessage,
} from "./crash_message.ts";

/** Delay after a failed call, milliseconds. */
const RETRY_DELAY_MILLISECONDS = 2_000;
/** Crashes within this interval share a read of the table, milliseconds. */
const READ_INTERVAL_MILLISECONDS = 1_000;
/** Rows that a restored store lost are rewritten within this time, ms. */
const REWRITE_JITTER_MILLISECONDS = 2_000;

/** Options of `QuarantineRows`. */
export interface QuarantineRowsOptions {
  readonly store: TableStore;
  readonly era: StoreEra;
  readonly table: string;
  /**
   * A row of a table that daemons read when they start. It exists while the
   * quarantine's table has rows, so that daemons needn't read that one as well.
   */
  readonly marker?: { readonly table: string; readonly key: string };
  readonly quarantine: Quarantine;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * Stores quarantined subjects, in case all daemons terminate at once. A daemon
 * that detected one of a subject's crashes writes its row. It also reads the table
 * after each crash that it detects. A daemon that starts alone, or that no
 * other daemon reaches, thus learns of the subject before it sends it again.
 */
export class QuarantineRows {
  readonly #options: QuarantineRowsOptions;
  /** Aborted by the teardown; stops retries. */
  readonly #stop = new AbortController();
  /** Subjects whose rows are written, or are being written. */
  readonly #writtenRows = new Set<string>();
  /** Whether the marker is written, or being written. */
  #isMarked = false;
  #readAt = Number.NEGATIVE_INFINITY;
  /** A read is scheduled or running; retried while the store is down. */
  #isReadDue = false;

  constructor(options: QuarantineRowsOptions) {
    this.#options = options;
  }

  /** Starts reading and writing rows; returns the teardown. */
  register(): () => void {
    const { quarantine, era, timer, random } = this.#options;
    const teardowns = [
      quarantine.registerListener((source) => {
        if (source === "own") this.#scheduleRead();
        this.#syncRows();
      }),
      era.registerListener(() => {
        this.#writtenRows.clear();
        this.#isMarked = false;
        const wait = random.next() * REWRITE_JITTER_MILLISECONDS;
        timer.registerTimeout(() => this.#syncRows(), wait);
      }),
      () => this.#stop.abort(),
    ];
    return () => teardowns.forEach((teardown) => teardown());
  }

  /** To be called when the marker is found in the store. */
  handleMarker(): void {
    this.#scheduleRead();
  }

  #scheduleRead(): void {
    if (this.#isReadDue) return;
    this.#isReadDue = true;
    const { timer } = this.#options;
    const wait = this.#readAt + READ_INTERVAL_MILLISECONDS - timer.now();
    const read = (): void => {
      this.#readAt = timer.now();
      void this.#retry("failed to read quarantine table", () => this.#read());
    };
    if (wait <= 0) read();
    else timer.registerTimeout(read, wait);
  }

  /** Writes rows of new subjects and removes those of released ones. */
  #syncRows(): void {
    const { quarantine } = this.#options;
    const { keys } = quarantine;
    for (const key of keys) {
      if (!quarantine.isOwn(key) || this.#writtenRows.has(key)) continue;
      this.#writtenRows.add(key);
      this.#write(key);
    }
    for (const key of this.#writtenRows) {
      if (keys.has(key)) continue;
      this.#writtenRows.delete(key);
      this.#write(key);
    }
    const hasRows = this.#writtenRows.size > 0;
    if (hasRows !== this.#isMarked) this.#writeMarker(hasRows);
  }

  async #read(): Promise<void> {
    const { store, table, era, timer, quarantine } = this.#options;
    const startedAt = timer.now();
    const page = await store.readTable(table);
    if (era.checkAnswer(page.era, startedAt) === "late") {
      throw new Error("The store answered from an earlier era");
    }
    this.#isReadDue = false;
    for (const row of page.rows) this.#mergeRow(row);
    this.#isMarked ||= this.#writtenRows.size > 0;
    this.#options.log.info("quarantine read", {
      rows: page.rows.length,
      quarantined: quarantine.keys.size,
    });
  }

  #mergeRow(row: TableRow): void {
    const { quarantine } = this.#options;
    try {
      const message = crashMessageSchema.parse(JSON.parse(row.text));
      quarantine.merge(fromCrashMessage(message), "store");
      // The daemon that wrote the row may not live until the subject's release.
      if (quarantine.keys.has(row.key)) this.#writtenRows.add(row.key);
    } catch (error) {
      this.#options.log.warn("invalid quarantine row", {
        key: row.key,
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }

  #write(key: string): void {
    const { store, table, era, timer, quarantine } = this.#options;
    void this.#retry("failed to write quarantine row", async () => {
      const startedAt = timer.now();
      const text = quarantine.keys.has(key)
        ? JSON.stringify(toCrashMessage(quarantine.page(key)))
        : undefined;
      era.checkAnswer(await store.write(table, key, text), startedAt);
    });
  }

  #writeMarker(hasRows: boolean): void {
    const { store, marker, era, timer } = this.#options;
    if (marker === undefined) return;
    const { table, key } = marker;
    this.#isMarked = hasRows;
    void this.#retry("failed to mark quarantine table", async () => {
      const startedAt = timer.now();
      const text = this.#isMarked ? "{}" : undefined;
      era.checkAnswer(await store.write(table, key, text), startedAt);
    });
  }

  /** Retries `operation` until it succeeds. */
  #retry(message: string, operation: () => Promise<void>): Promise<void> {
    const retryDelayMilliseconds = RETRY_DELAY_MILLISECONDS;
    return retryUntilSuccess({
      ...this.#options,
      operation,
      message,
      retryDelayMilliseconds,
      signal: this.#stop.signal,
    });
  }
}
