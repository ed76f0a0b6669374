import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EraChange, StoreEra } from "./store_era.ts";

/** Options of `RestoreReport`. */
export interface RestoreReportOptions {
  readonly era: StoreEra;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  /** Tables that are read again after a restore; logged by name. */
  readonly tables: readonly string[];
}

interface OpenReport {
  readonly change: EraChange;
  readonly since: number;
  /** Number of rows read again, by table. */
  readonly rows: Map<string, number>;
  ownRow: "found" | "written" | undefined;
}

/**
 * Logs one line for each restore of the store from an older copy: both eras,
 * who reported it, which tables were read again and whether the own row had to
 * be rewritten. The line is written once all that is done, or at the next
 * restore.
 */
export class RestoreReport {
  readonly #options: RestoreReportOptions;
  #open: OpenReport | undefined;

  constructor(options: RestoreReportOptions) {
    this.#options = options;
    options.era.registerListener((change) => this.#start(change));
  }

  tableRead(table: string, rows: number): void {
    const open = this.#open;
    if (open === undefined || open.rows.has(table)) return;
    open.rows.set(table, rows);
    this.#finishIfComplete();
  }

  ownRowVerified(how: "found" | "written"): void {
    if (this.#open === undefined) return;
    this.#open.ownRow = how;
    this.#finishIfComplete();
  }

  #start(change: EraChange): void {
    this.#finish();
    const since = this.#options.timer.now();
    this.#open = { change, since, rows: new Map(), ownRow: undefined };
  }

  #finishIfComplete(): void {
    const open = this.#open;
    if (open?.ownRow === undefined) return;
    if (this.#options.tables.every((table) => open.rows.has(table))) {
      this.#finish();
    }
  }

  #finish(): void {
    const open = this.#open;
    if (open === undefined) return;
    this.#open = undefined;
    const { log, timer } = this.#options;
    log.info("store restored from a copy", {
      eraBefore: open.change.before,
      eraAfter: open.change.after,
      toldBy: open.change.source,
      rowsRead: [...open.rows].map(([table, rows]) => `${table} ${rows}`)
        .join(", "),
      ownRow: open.ownRow ?? "not looked for yet",
      tookMilliseconds: Math.round(timer.now() - open.since),
    });
  }
}
