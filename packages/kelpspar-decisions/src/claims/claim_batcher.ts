import type { ClaimWriteAnswer } from "./claim_attempt_event.ts";
import type {
  ClaimTransaction,
  ClaimTransactionAnswer,
  ClaimTransactionOutcome,
} from "./claim_transaction.ts";
import type {
  ClaimWriteResult,
  QueuedClaimWrite,
} from "./queued_claim_write.ts";
import { CLAIMS_TABLE, parseClaimContent } from "./claim_row.ts";

const MOST_ROWS_OF_A_TRANSACTION = 100;
const DEFAULT_MOST_UNITS = 1024 * 1024;
const DEFAULT_MOST_IN_FLIGHT = 2;
const DEFAULT_LINGER_MILLISECONDS = 2;
const DEFAULT_DEFER_MILLISECONDS = 50;

/** How claim writes are gathered. */
export interface ClaimBatcherOptions {
  /** Rows of a batch at most; default and upper limit 100. */
  readonly mostRows?: number;
  /** Result text of a batch at most, UTF-16 units; default 1 Mi. */
  readonly mostTextUnits?: number;
  /** Transactions on their way at a time; default 2. */
  readonly mostInFlight?: number;
  /** How long the first claim waits for others, milliseconds; default 2. */
  readonly lingerMilliseconds?: number;
  /** How long a done or release waits for claims, milliseconds; default 50. */
  readonly deferMilliseconds?: number;
}

/** A batch that has to be sent now. */
export interface ClaimBatch {
  readonly batchId: number;
  readonly transaction: ClaimTransaction;
}

interface WaitingWrite {
  readonly write: QueuedClaimWrite;
  readonly dueAt: number;
}

/**
 * Group commit for claims. A write each would take more transactions than the
 * table service gives; here a batch leaves when it is full, when its first
 * write has waited long enough and as soon as an earlier batch was answered.
 *
 * A conflict in one row fails the whole transaction, so the rows in conflict
 * are answered and all others leave at once in the next batch. After a lost or
 * refused answer the batches shrink by half, down to one row, so that one row
 * that the store cannot take does not hold up the rest; each answer doubles
 * them again.
 *
 * Done and release writes are deferred to share a batch with claims. A crash
 * in that time leaves the row `claimed`: a retry elsewhere then learns
 * `outcome_unknown` instead of the result, and never runs again. Deferring
 * widens that window by `deferMilliseconds` for each request.
 *
 * Source: the brief, "What the platform gives" (several hundred writes a
 * second).
 */
export class ClaimBatcher {
  readonly #mostRows: number;
  readonly #mostTextUnits: number;
  readonly #mostInFlight: number;
  readonly #lingerMilliseconds: number;
  readonly #deferMilliseconds: number;
  readonly #waiting = new Map<string, WaitingWrite>();
  readonly #deferred = new Map<string, WaitingWrite>();
  readonly #inFlight = new Map<number, readonly QueuedClaimWrite[]>();
  #rowLimit: number;
  #nextBatchId = 1;

  constructor(options: ClaimBatcherOptions = {}) {
    this.#mostRows = Math.min(
      options.mostRows ?? MOST_ROWS_OF_A_TRANSACTION,
      MOST_ROWS_OF_A_TRANSACTION,
    );
    this.#mostTextUnits = options.mostTextUnits ?? DEFAULT_MOST_UNITS;
    this.#mostInFlight = options.mostInFlight ?? DEFAULT_MOST_IN_FLIGHT;
    this.#lingerMilliseconds = options.lingerMilliseconds ??
      DEFAULT_LINGER_MILLISECONDS;
    this.#deferMilliseconds = options.deferMilliseconds ??
      DEFAULT_DEFER_MILLISECONDS;
    this.#rowLimit = this.#mostRows;
  }

  /** Writes that wait to be sent. */
  get size(): number {
    return this.#waiting.size + this.#deferred.size;
  }

  /** Queues a write; an operation has one write on its way at most. */
  add(write: QueuedClaimWrite, now: number): void {
    const { operationId } = write.content;
    if (write.kind === "claim") {
      const dueAt = now + this.#lingerMilliseconds;
      this.#waiting.set(operationId, { write, dueAt });
    } else {
      const dueAt = now + this.#deferMilliseconds;
      this.#deferred.set(operationId, { write, dueAt });
    }
  }

  /**
   * Takes back a write that has not been sent. True is proof that it never
   * will be; hand its attempt `unavailable` then.
   */
  withdraw(operationId: string): boolean {
    return this.#waiting.delete(operationId) ||
      this.#deferred.delete(operationId);
  }

  /**
   * When to call `take`, maybe in the past; undefined while nothing can leave.
   * Changes with every `add`, `take`, `withdraw` and `settle`.
   */
  dueAt(): number | undefined {
    if (this.size === 0 || this.#inFlight.size >= this.#mostInFlight) {
      return undefined;
    }
    if (this.size >= this.#rowLimit) return -Infinity;
    return Math.min(firstDue(this.#waiting), firstDue(this.#deferred));
  }

  /** The batch that has to leave now, if any is due. */
  take(
    now: number,
    options: { readonly wallClock: number },
  ): ClaimBatch | undefined {
    const dueAt = this.dueAt();
    if (dueAt === undefined || dueAt > now) return undefined;
    const writes = this.#takeWrites();
    const batchId = this.#nextBatchId++;
    this.#inFlight.set(batchId, writes);
    return { batchId, transaction: toTransaction(writes, options.wallClock) };
  }

  /**
   * Takes a batch's outcome and gives the answers for its attempts. Writes
   * that are not among them wait for the next batch, which is due at once.
   */
  settle(
    batchId: number,
    outcome: ClaimTransactionOutcome,
  ): readonly ClaimWriteResult[] {
    const writes = this.#inFlight.get(batchId);
    if (writes === undefined) return [];
    this.#inFlight.delete(batchId);
    if (outcome === "unknown" || outcome === "unavailable") {
      return this.#fail(writes, outcome);
    }
    this.#rowLimit = Math.min(this.#mostRows, this.#rowLimit * 2);
    if (outcome.committed) return this.#commit(writes, outcome.versions);
    return this.#split(writes, outcome);
  }

  #takeWrites(): QueuedClaimWrite[] {
    const writes: QueuedClaimWrite[] = [];
    const keys = new Set<string>();
    let textUnits = 0;
    for (const queue of [this.#waiting, this.#deferred]) {
      for (const [operationId, { write }] of queue) {
        if (writes.length >= this.#rowLimit) return writes;
        if (textUnits >= this.#mostTextUnits) return writes;
        // Two operations of one key would fail each other's conditions.
        if (keys.has(write.key)) continue;
        keys.add(write.key);
        textUnits += countTextUnits(write);
        writes.push(write);
        queue.delete(operationId);
      }
    }
    return writes;
  }

  #fail(
    writes: readonly QueuedClaimWrite[],
    type: "unknown" | "unavailable",
  ): ClaimWriteResult[] {
    this.#rowLimit = Math.max(1, Math.floor(this.#rowLimit / 2));
    return writes.map((write) => toResult(write, { type }));
  }

  #commit(
    writes: readonly QueuedClaimWrite[],
    versions: readonly number[],
  ): ClaimWriteResult[] {
    return writes.map((write, index) => {
      const version = versions[index];
      if (version === undefined) return toResult(write, { type: "unknown" });
      return toResult(write, { type: "committed", version });
    });
  }

  #split(
    writes: readonly QueuedClaimWrite[],
    answer: Extract<ClaimTransactionAnswer, { readonly committed: false }>,
  ): ClaimWriteResult[] {
    const rows = new Map(answer.conflicts.map(({ key, row }) => [key, row]));
    // An answer that blames none of our rows would otherwise be sent again
    // and again without a pause.
    if (!writes.some((write) => rows.has(write.key))) {
      return this.#fail(writes, "unavailable");
    }
    const results: ClaimWriteResult[] = [];
    const others: QueuedClaimWrite[] = [];
    for (const write of writes) {
      const row = rows.get(write.key);
      if (row === undefined) others.push(write);
      else results.push(toResult(write, toConflict(row)));
    }
    this.#requeue(others);
    return results;
  }

  #requeue(writes: readonly QueuedClaimWrite[]): void {
    const later = [...this.#waiting];
    this.#waiting.clear();
    for (const write of writes) {
      const { operationId } = write.content;
      this.#waiting.set(operationId, { write, dueAt: -Infinity });
    }
    for (const [operationId, waiting] of later) {
      this.#waiting.set(operationId, waiting);
    }
  }
}

function firstDue(queue: ReadonlyMap<string, WaitingWrite>): number {
  for (const { dueAt } of queue.values()) return dueAt;
  return Infinity;
}

function countTextUnits(write: QueuedClaimWrite): number {
  const { result } = write.content;
  return result !== undefined && "text" in result ? result.text.length : 0;
}

function toTransaction(
  writes: readonly QueuedClaimWrite[],
  writtenAtWallClock: number,
): ClaimTransaction {
  return {
    writes: writes.map(({ key, content, expectedVersion }) => ({
      table: CLAIMS_TABLE,
      key,
      value: { ...content, writtenAtWallClock },
      expectedVersion,
    })),
  };
}

function toResult(
  write: QueuedClaimWrite,
  answer: ClaimWriteAnswer,
): ClaimWriteResult {
  return { operationId: write.content.operationId, answer };
}

function toConflict(
  row: { readonly value: unknown; readonly version: number } | null,
): ClaimWriteAnswer {
  if (row === null) return { type: "conflict", found: null };
  const content = parseClaimContent(row.value);
  return { type: "conflict", found: { content, version: row.version } };
}
