import type {
  TableKey,
  TableRow,
  TableScan,
  TableTransaction,
  TransactionResult,
} from "kelpspar-backends";
import type { RandomSource, TimerService } from "kelpspar-shared";
import type { TableAnswer, TableRefusal } from "./table_answer.ts";
import type { TableCounters } from "./table_counters.ts";
import type { TableFaults } from "./table_faults.ts";
import { delay, drawBoolean, drawLatency } from "../faults/delay.ts";
import { RateLimit } from "../faults/rate_limit.ts";
import { createTableCounters } from "./table_counters.ts";
import { tableFaultsSchema } from "./table_faults.ts";
import { TableRows } from "./table_rows.ts";

const MAXIMUM_WRITES = 100;

type WriteOutcome = "answer" | "lose_answer" | "delay_write";

/** A table with scripted and seeded random faults. */
export class ScriptedTable {
  readonly counters: TableCounters = createTableCounters();
  readonly #timer: TimerService;
  readonly #random: RandomSource;
  readonly #rows = new TableRows();
  readonly #writeLimit: RateLimit;
  readonly #readLimit: RateLimit;
  #faults: TableFaults;
  #drawnWrites = 0;

  constructor(options: {
    readonly timer: TimerService;
    readonly random: RandomSource;
    readonly faults: TableFaults;
  }) {
    this.#timer = options.timer;
    this.#random = options.random;
    this.#faults = options.faults;
    this.#writeLimit = new RateLimit(
      options.timer,
      options.faults.transactionsPerSecond,
    );
    this.#readLimit = new RateLimit(
      options.timer,
      options.faults.readsPerSecond,
    );
  }

  get faults(): TableFaults {
    return this.#faults;
  }

  /** Changes some faults. Throws a ZodError for invalid faults. */
  setFaults(changes: Partial<TableFaults>): void {
    this.#faults = tableFaultsSchema.parse({ ...this.#faults, ...changes });
    this.#writeLimit.setRate(this.#faults.transactionsPerSecond);
    this.#readLimit.setRate(this.#faults.readsPerSecond);
  }

  /** Commits a transaction; without latency, before this returns. */
  async commit(
    transaction: TableTransaction,
  ): Promise<TableAnswer<TransactionResult>> {
    if (!isValid(transaction)) return this.#refuse("invalid");
    const refusal = this.#checkAvailability(this.#writeLimit);
    if (refusal !== undefined) return refusal;
    const latency = drawLatency(this.#random, this.#faults);
    if (latency > 0) await delay(this.#timer, latency);
    return this.#writeHandlers[this.#drawWriteOutcome()](transaction);
  }

  async read(
    keys: readonly TableKey[],
  ): Promise<TableAnswer<readonly (TableRow | null)[]>> {
    const refusal = await this.#admitRead();
    if (refusal !== undefined) return refusal;
    this.counters.reads += 1;
    this.counters.rowsRead += keys.length;
    return { kind: "answered", value: keys.map((key) => this.#rows.get(key)) };
  }

  async scan(scan: TableScan): Promise<TableAnswer<readonly TableRow[]>> {
    const refusal = await this.#admitRead();
    if (refusal !== undefined) return refusal;
    const value = this.#rows.scan(scan);
    this.counters.scans += 1;
    this.counters.rowsRead += value.length;
    return { kind: "answered", value };
  }

  readonly #writeHandlers: Readonly<
    Record<
      WriteOutcome,
      (transaction: TableTransaction) => TableAnswer<TransactionResult>
    >
  > = {
    answer: (transaction) => ({
      kind: "answered",
      value: this.#apply(transaction),
    }),
    lose_answer: (transaction) => {
      this.#apply(transaction);
      this.counters.answersLost += 1;
      return { kind: this.#faults.lostAnswer };
    },
    delay_write: (transaction) => {
      const later = this.#faults.delayWriteMilliseconds;
      this.#timer.registerTimeout(
        () => this.#apply(transaction),
        later,
      );
      this.counters.writesDelayed += 1;
      return { kind: this.#faults.lostAnswer };
    },
  };

  async #admitRead(): Promise<TableAnswer<never> | undefined> {
    const refusal = this.#checkAvailability(this.#readLimit);
    if (refusal !== undefined) return refusal;
    const latency = drawLatency(this.#random, this.#faults);
    if (latency > 0) await delay(this.#timer, latency);
    return undefined;
  }

  #checkAvailability(limit: RateLimit): TableAnswer<never> | undefined {
    const { outage } = this.#faults;
    if (outage === "unavailable") return this.#refuse("outage");
    if (outage !== "none") return { kind: outage };
    return limit.tryConsume() ? undefined : this.#refuse("rate");
  }

  #refuse(reason: TableRefusal): TableAnswer<never> {
    this.counters.refused += 1;
    return { kind: "refused", reason };
  }

  #drawWriteOutcome(): WriteOutcome {
    this.#drawnWrites += 1;
    const faults = this.#faults;
    if (isNth(this.#drawnWrites, faults.delayWriteEvery)) return "delay_write";
    if (isNth(this.#drawnWrites, faults.loseAnswerEvery)) return "lose_answer";
    if (drawBoolean(this.#random, faults.delayWriteShare)) return "delay_write";
    if (drawBoolean(this.#random, faults.loseAnswerShare)) return "lose_answer";
    return "answer";
  }

  #apply(transaction: TableTransaction): TransactionResult {
    const result = this.#rows.commit(transaction);
    this.counters.transactions += 1;
    if (result.committed) this.counters.rowsWritten += result.versions.length;
    else this.counters.conflicts += 1;
    return result;
  }
}

function isNth(count: number, every: number): boolean {
  return every > 0 && count % every === 0;
}

/** Checks for at most 100 writes, distinct rows and defined values. */
function isValid(transaction: TableTransaction): boolean {
  const { writes } = transaction;
  if (!Array.isArray(writes) || writes.length > MAXIMUM_WRITES) return false;
  const rows = new Set(writes.map(({ table, key }) => `${table}\n${key}`));
  return rows.size === writes.length &&
    writes.every(({ value }) => value !== undefined);
}
