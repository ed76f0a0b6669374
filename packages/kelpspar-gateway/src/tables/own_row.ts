import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EraListener, StoreEra } from "./store_era.ts";
import type { TablePage, TableStore } from "./table_store.ts";
import { retryUntilSuccess } from "./retry_until_success.ts";

/** Options of `OwnRow`. */
export interface OwnRowOptions {
  readonly store: TableStore;
  readonly era: StoreEra;
  readonly table: string;
  readonly key: string;
  readonly text: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  /** Writes per second that a table accepts. */
  readonly writesPerSecond: number;
  /** Number of daemons that write such a row, including this one. */
  readonly fleetSize: () => number;
  /** Receives the table as read after the store was restored. */
  readonly onTableRead: (page: TablePage) => void;
  /** Called when the row is correct again after the store was restored. */
  readonly onVerified: (how: "found" | "written") => void;
}

/** Delay after a failed call, milliseconds. */
const RETRY_DELAY_MILLISECONDS = 3_500;
/** Share of the table's write rate that the whole fleet may use at once. */
const FLEET_WRITE_SHARE = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * This daemon's own row in the store. A store that was restored from an older
 * copy may lack the row, so that daemons that start later never discover this
 * one; or it may contain the row again although the daemon is leaving. After
 * each restore every daemon reads the table and corrects its row. The checks
 * are spread over the time that the table needs for that many writes.
 */
export class OwnRow {
  readonly #options: OwnRowOptions;
  /** Aborted by the teardown; stops retries. */
  readonly #stop = new AbortController();
  #isLeaving = false;

  constructor(options: OwnRowOptions) {
    this.#options = options;
  }

  /** Writes the row and corrects it after restores; returns the teardown. */
  register(): () => void {
    void this.#retry("failed to write own row", () => this.#write());
    const restored: EraListener = () => this.#scheduleCheck();
    const unregister = this.#options.era.registerListener(restored);
    return () => {
      unregister();
      this.#stop.abort();
    };
  }

  /** Removes the row, so that other daemons no longer contact this one. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    try {
      await this.#write();
    } catch (error) {
      this.#options.log.warn("failed to remove own row", {
        reason: String(error),
      });
    }
  }

  #scheduleCheck(): void {
    const { timer, random, fleetSize, writesPerSecond } = this.#options;
    const spread = fleetSize() * MILLISECONDS_PER_SECOND /
      (writesPerSecond * FLEET_WRITE_SHARE);
    timer.registerTimeout(
      () => void this.#retry("failed to check own row", () => this.#check()),
      random.next() * spread,
    );
  }

  async #check(): Promise<void> {
    const { store, table, key, text, timer, era, onTableRead, onVerified } =
      this.#options;
    const startedAt = timer.now();
    const page = await store.readTable(table);
    if (era.checkAnswer(page.era, startedAt) === "late") {
      throw new Error("The store answered from an earlier era");
    }
    onTableRead(page);
    const found = page.rows.find((row) => row.key === key)?.text;
    if (found === (this.#isLeaving ? undefined : text)) {
      onVerified("found");
      return;
    }
    await this.#write();
    onVerified("written");
  }

  async #write(): Promise<void> {
    const { store, table, key, text, timer, era } = this.#options;
    const startedAt = timer.now();
    const reportedEra = await store.write(
      table,
      key,
      this.#isLeaving ? undefined : text,
    );
    era.checkAnswer(reportedEra, startedAt);
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
