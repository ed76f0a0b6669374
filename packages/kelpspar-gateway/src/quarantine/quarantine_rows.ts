import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { StoreEra } from "../tables/store_era.ts";
import type { TableRow, TableStore } from "../tables/table_store.ts";
import type { Quarantine } from "./quarantine.ts";
import { callUntilDone } from "../tables/call_until_done.ts";
import {
  crashMessageSchema,
  fromCrashMessage,
  toCrashMessage,
} from "./crash_message.ts";

/** Wait after a call that failed, milliseconds. */
const FAILED_PAUSE_MILLISECONDS = 2_000;
/** Crashes within so long share a read of the table, milliseconds. */
const READ_PAUSE_MILLISECONDS = 1_000;
/** Rows that a restored store lost are written again within so long, ms. */
const WRITE_AGAIN_MILLISECONDS = 2_000;

/** What rows of a quarantine are kept with. */
export interface QuarantineRowsOptions {
  readonly store: TableStore;
  readonly era: StoreEra;
  readonly table: string;
  readonly quarantine: Quarantine;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
}

/**
 * Keeps poison requests in the store, for daemons that all end at once. A
 * daemon that saw one of a request's crashes writes its row. The table is read
 * with each crash that a daemon sees itself: one that starts alone, or that no
 * other reaches, learns of the request before it sends it once more.
 */
export class QuarantineRows {
  readonly #options: QuarantineRowsOptions;
  /** Requests whose rows are as they should be, or are being written. */
  readonly #kept = new Set<string>();
  #readAt = Number.NEGATIVE_INFINITY;
  /** A read is planned or under way, tried again while the store is away. */
  #isReadDue = false;

  constructor(options: QuarantineRowsOptions) {
    this.#options = options;
  }

  /** Begins to read and write rows; returns the teardown. */
  register(): () => void {
    const { quarantine, era, timer, random } = this.#options;
    const teardowns = [
      quarantine.registerListener((source) => {
        if (source === "own") this.#readSoon();
        this.#keep();
      }),
      era.registerListener(() => {
        this.#kept.clear();
        const wait = random.next() * WRITE_AGAIN_MILLISECONDS;
        timer.registerTimeout(() => this.#keep(), wait);
      }),
    ];
    return () => teardowns.forEach((teardown) => teardown());
  }

  #readSoon(): void {
    if (this.#isReadDue) return;
    this.#isReadDue = true;
    const { timer } = this.#options;
    const wait = this.#readAt + READ_PAUSE_MILLISECONDS - timer.now();
    const read = (): void => {
      this.#readAt = timer.now();
      void this.#try("quarantine not read", () => this.#read());
    };
    if (wait <= 0) read();
    else timer.registerTimeout(read, wait);
  }

  /** Writes rows of new poison requests, and drops those of released ones. */
  #keep(): void {
    const { quarantine } = this.#options;
    for (const fingerprint of quarantine.fingerprints) {
      if (!quarantine.isOwn(fingerprint)) continue;
      if (this.#kept.has(fingerprint)) continue;
      this.#kept.add(fingerprint);
      this.#write(fingerprint);
    }
    for (const fingerprint of this.#kept) {
      if (quarantine.holds(fingerprint)) continue;
      this.#kept.delete(fingerprint);
      this.#write(fingerprint);
    }
  }

  async #read(): Promise<void> {
    const { store, table, era, timer, quarantine } = this.#options;
    const startedAt = timer.now();
    const page = await store.readTable(table);
    if (era.answered(page.era, startedAt) === "late") {
      throw new Error("The store answered from an earlier era");
    }
    this.#isReadDue = false;
    for (const row of page.rows) this.#take(row);
    this.#options.log.info("quarantine read", {
      rows: page.rows.length,
      quarantined: quarantine.size,
    });
  }

  #take(row: TableRow): void {
    try {
      const message = crashMessageSchema.parse(JSON.parse(row.text));
      this.#options.quarantine.take(fromCrashMessage(message), "store");
    } catch (error) {
      this.#options.log.warn("quarantine row not understood", {
        key: row.key,
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }

  #write(fingerprint: string): void {
    const { store, table, era, timer, quarantine } = this.#options;
    void this.#try("quarantine row not written", async () => {
      const startedAt = timer.now();
      const text = quarantine.holds(fingerprint)
        ? JSON.stringify(toCrashMessage(quarantine.page(fingerprint)))
        : undefined;
      era.answered(await store.write(table, fingerprint, text), startedAt);
    });
  }

  /** Tries until it is done. */
  #try(message: string, act: () => Promise<void>): Promise<void> {
    const pauseMilliseconds = FAILED_PAUSE_MILLISECONDS;
    return callUntilDone({ ...this.#options, act, message, pauseMilliseconds });
  }
}
