import type { TimerService } from "kelpspar-shared";
import type {
  KeyRange,
  RowChanges,
  RowRangeStore,
  RowsWritten,
  StoredRows,
} from "./row_range_store.ts";
import type { StoreClock } from "./store_clock.ts";
import type { ReportedEra } from "./table_store.ts";
import type { StoreEra } from "./store_era.ts";

/** Dependencies of `CheckedRows`. */
export interface CheckedRowsOptions {
  /** Undefined until this daemon knows the store. */
  readonly store: () => RowRangeStore | undefined;
  /** Set by each read. */
  readonly clock: StoreClock;
  readonly era: StoreEra;
  readonly timer: TimerService;
}

/**
 * Rows of the store. Calls also throw if the store isn't known yet, or if it
 * answers from an earlier era.
 */
export class CheckedRows implements RowRangeStore {
  readonly #options: CheckedRowsOptions;

  constructor(options: CheckedRowsOptions) {
    this.#options = options;
  }

  /** False until this daemon knows the store. */
  get isKnown(): boolean {
    return this.#options.store() !== undefined;
  }

  async readRows(table: string, range?: KeyRange): Promise<StoredRows> {
    const answer = await this.#call((store) => store.readRows(table, range));
    this.#options.clock.observe(answer.clockMilliseconds);
    return answer;
  }

  writeRows(table: string, changes: RowChanges): Promise<RowsWritten> {
    return this.#call((store) => store.writeRows(table, changes));
  }

  async #call<Answer extends { readonly era: ReportedEra }>(
    send: (store: RowRangeStore) => Promise<Answer>,
  ): Promise<Answer> {
    const { era, timer } = this.#options;
    const store = this.#options.store();
    if (store === undefined) throw new Error("The store isn't known yet");
    const startedAt = timer.now();
    const answer = await send(store);
    if (era.checkAnswer(answer.era, startedAt) === "late") {
      throw new Error("The store answered from an earlier era");
    }
    return answer;
  }
}
