import type {
  TableKey,
  TableRow,
  TableScan,
  TableService,
  TableTransaction,
  TransactionResult,
} from "kelpspar-backends";
import type { RandomSource, ResultName, TimerService } from "kelpspar-shared";
import type { TableAnswer } from "./table_answer.ts";
import type { TableCounters } from "./table_counters.ts";
import type { TableFaults } from "./table_faults.ts";
import { KelpsparError, SeededRandom } from "kelpspar-shared";
import { ScriptedTable } from "./scripted_table.ts";
import { tableFaultsSchema } from "./table_faults.ts";

const DEFAULT_TIMEOUT_MILLISECONDS = 1_000;

/** Dependencies, faults and timeout of an in-memory table. */
export interface InMemoryTableOptions {
  readonly timer: TimerService;
  /** Random source of the faults; default: a generator with seed 1. */
  readonly random?: RandomSource;
  readonly faults?: Partial<TableFaults>;
  /** Timeout of each call, milliseconds; default 1,000. */
  readonly timeoutMilliseconds?: number;
}

/**
 * The table service in memory, for tests without HTTP. It throws the same errors
 * as `HttpTableService`: `table_unavailable` when nothing was written,
 * `write_unknown` when the response to a write was lost, and `platform_refused`
 * for an invalid transaction.
 */
export class InMemoryTable implements TableService {
  /** The underlying table, also used by the HTTP routes. */
  readonly scripted: ScriptedTable;
  readonly #timer: TimerService;
  readonly #timeoutMilliseconds: number;

  constructor(options: InMemoryTableOptions) {
    this.#timer = options.timer;
    this.#timeoutMilliseconds = options.timeoutMilliseconds ??
      DEFAULT_TIMEOUT_MILLISECONDS;
    this.scripted = new ScriptedTable({
      timer: options.timer,
      random: options.random ?? new SeededRandom(1),
      faults: tableFaultsSchema.parse(options.faults ?? {}),
    });
  }

  get counters(): TableCounters {
    return this.scripted.counters;
  }

  setFaults(changes: Partial<TableFaults>): void {
    this.scripted.setFaults(changes);
  }

  async commit(transaction: TableTransaction): Promise<TransactionResult> {
    const pending = this.scripted.commit(transaction);
    return unwrap(await this.#withTimeout(pending), "write_unknown");
  }

  async read(
    keys: readonly TableKey[],
  ): Promise<readonly (TableRow | null)[]> {
    const pending = this.scripted.read(keys);
    return unwrap(await this.#withTimeout(pending), "table_unavailable");
  }

  async scan(scan: TableScan): Promise<readonly TableRow[]> {
    const pending = this.scripted.scan(scan);
    return unwrap(await this.#withTimeout(pending), "table_unavailable");
  }

  #withTimeout<Value>(
    pending: Promise<TableAnswer<Value>>,
  ): Promise<TableAnswer<Value>> {
    return new Promise((resolve, reject) => {
      const stopTimer = this.#timer.registerTimeout(
        () => resolve({ kind: "hang" }),
        this.#timeoutMilliseconds,
      );
      pending.then((answer) => {
        if (answer.kind === "hang") return;
        stopTimer();
        resolve(answer);
      }, reject);
    });
  }
}

function unwrap<Value>(
  answer: TableAnswer<Value>,
  lostResult: ResultName,
): Value {
  if (answer.kind === "answered") return answer.value;
  if (answer.kind !== "refused") {
    throw new KelpsparError(
      lostResult,
      `The table's answer was lost: ${answer.kind}`,
    );
  }
  const result = answer.reason === "invalid"
    ? "platform_refused"
    : "table_unavailable";
  throw new KelpsparError(
    result,
    `The table service refused the call: ${answer.reason}`,
  );
}
