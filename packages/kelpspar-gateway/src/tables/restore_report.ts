import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EraChange, StoreEra } from "./store_era.ts";

/** What a report is made with. */
export interface RestoreReportOptions {
  readonly era: StoreEra;
  readonly timer: TimerService;
  readonly log: GatewayLog;
  /** Tables that are read anew, as names of log fields. */
  readonly tables: readonly string[];
}

interface OpenReport {
  readonly change: EraChange;
  readonly since: number;
  /** Rows read anew, by table. */
  readonly rows: Map<string, number>;
  ownRow: "found" | "written" | undefined;
}

/**
 * Logs one line for each return of the store from an older copy: both eras, who
 * told of it, what was read anew and whether the own row was written again. The
 * line comes once all that is done, or when the store returns once more.
 */
export class RestoreReport {
  readonly #options: RestoreReportOptions;
  #open: OpenReport | undefined;

  constructor(options: RestoreReportOptions) {
    this.#options = options;
    options.era.registerListener((change) => this.#begin(change));
  }

  tableRead(table: string, rows: number): void {
    const open = this.#open;
    if (open === undefined || open.rows.has(table)) return;
    open.rows.set(table, rows);
    this.#endIfComplete();
  }

  ownRowKept(how: "found" | "written"): void {
    if (this.#open === undefined) return;
    this.#open.ownRow = how;
    this.#endIfComplete();
  }

  #begin(change: EraChange): void {
    this.#end();
    const since = this.#options.timer.now();
    this.#open = { change, since, rows: new Map(), ownRow: undefined };
  }

  #endIfComplete(): void {
    const open = this.#open;
    if (open?.ownRow === undefined) return;
    if (this.#options.tables.every((table) => open.rows.has(table))) {
      this.#end();
    }
  }

  #end(): void {
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
