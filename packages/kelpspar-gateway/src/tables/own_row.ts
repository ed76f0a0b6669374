import type { RandomSource, TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EraListener, StoreEra } from "./store_era.ts";
import type { TablePage, TableStore } from "./table_store.ts";
import { callUntilDone } from "./call_until_done.ts";

/** What a daemon's own row is kept with. */
export interface OwnRowOptions {
  readonly store: TableStore;
  readonly era: StoreEra;
  readonly table: string;
  readonly key: string;
  readonly text: string;
  readonly timer: TimerService;
  readonly random: RandomSource;
  readonly log: GatewayLog;
  /** Writes a second that a table takes. */
  readonly writesPerSecond: number;
  /** Daemons that write a row of their own, this one among them. */
  readonly fleetSize: () => number;
  /** Takes the table as it was read after the store's return. */
  readonly onTable: (page: TablePage) => void;
  /** Told that the row is as it should be after the store's return. */
  readonly onKept: (how: "found" | "written") => void;
}

/** Wait after a call that failed, milliseconds. */
const FAILED_PAUSE_MILLISECONDS = 3_500;
/** Share of the table's writes that a whole fleet may take up at once. */
const WRITES_SHARE = 0.5;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * This daemon's own row in the store. What goes wrong: a store that comes back
 * from an older copy may lack it, so that daemons which start later never hear
 * of this one; or have it again though the daemon is leaving. After each return
 * the table is read and the row put right, by all daemons spread over the time
 * that the table needs for as many writes.
 */
export class OwnRow {
  readonly #options: OwnRowOptions;
  #isLeaving = false;

  constructor(options: OwnRowOptions) {
    this.#options = options;
  }

  /** Writes the row, and puts it right later; returns the teardown. */
  register(): () => void {
    void this.#try("own row not written", () => this.#write());
    const restored: EraListener = () => this.#checkSoon();
    return this.#options.era.registerListener(restored);
  }

  /** Takes the row out, so that nobody asks for this daemon any more. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    try {
      await this.#write();
    } catch (error) {
      this.#options.log.warn("own row not removed", { reason: String(error) });
    }
  }

  #checkSoon(): void {
    const { timer, random, fleetSize, writesPerSecond } = this.#options;
    const spread = fleetSize() * MILLISECONDS_PER_SECOND /
      (writesPerSecond * WRITES_SHARE);
    timer.registerTimeout(
      () => void this.#try("own row not looked for", () => this.#check()),
      random.next() * spread,
    );
  }

  async #check(): Promise<void> {
    const { store, table, key, text, timer, era, onTable, onKept } =
      this.#options;
    const startedAt = timer.now();
    const page = await store.readTable(table);
    if (era.answered(page.era, startedAt) === "late") {
      throw new Error("The store answered from an earlier era");
    }
    onTable(page);
    const found = page.rows.find((row) => row.key === key)?.text;
    if (found === (this.#isLeaving ? undefined : text)) {
      onKept("found");
      return;
    }
    await this.#write();
    onKept("written");
  }

  async #write(): Promise<void> {
    const { store, table, key, text, timer, era } = this.#options;
    const startedAt = timer.now();
    const word = await store.write(
      table,
      key,
      this.#isLeaving ? undefined : text,
    );
    era.answered(word, startedAt);
  }

  /** Tries until it is done. */
  #try(message: string, act: () => Promise<void>): Promise<void> {
    const pauseMilliseconds = FAILED_PAUSE_MILLISECONDS;
    return callUntilDone({ ...this.#options, act, message, pauseMilliseconds });
  }
}
