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

const MAXIMUM_ROWS_PER_TRANSACTION = 100;
const DEFAULT_MAXIMUM_TEXT_UNITS = 1024 * 1024;
const DEFAULT_MAXIMUM_IN_FLIGHT = 2;
const DEFAULT_LINGER_MILLISECONDS = 2;
const DEFAULT_DEFER_MILLISECONDS = 50;

/** Options of `ClaimBatcher`. */
export interface ClaimBatcherOptions {
  /** Maximum rows per batch; default and upper limit 100. */
  readonly maximumRows?: number;
  /** Maximum result text per batch, UTF-16 units; default 1 Mi. */
  readonly maximumTextUnits?: number;
  /** Maximum number of concurrent transactions; default 2. */
  readonly maximumInFlight?: number;
  /** Time that the first claim waits for others, milliseconds; default 2. */
  readonly lingerMilliseconds?: number;
  /**
   * Time that a done or release write waits for claims, milliseconds; default
   * 50.
   */
  readonly deferMilliseconds?: number;
}

/** A batch to be sent now. */
export interface ClaimBatch {
  readonly batchId: number;
  readonly transaction: ClaimTransaction;
}

interface WaitingWrite {
  readonly write: QueuedClaimWrite;
  readonly dueAt: number;
}

/**
 * Group commit for claims. One transaction per write would exceed the
 * transaction rate of the table service. A batch is sent when it is full, when
 * its first write has waited long enough, or as soon as an earlier batch was
 * answered.
 *
 * A conflict in one row fails the whole transaction, so the conflicting rows
 * are answered and all others are sent immediately in the next batch. After a
 * lost or refused answer the batch size is halved, down to one row, so that one
 * row that the store cannot accept does not block the rest; each answer doubles
 * the size again.
 *
 * Done and release writes are deferred to share a batch with claims. A crash in
 * that time leaves the row `claimed`: a retry at another daemon then receives
 * `outcome_unknown` instead of the result, and the request never runs again.
 * Deferring widens that window by `deferMilliseconds` for each request.
 *
 * Source: the brief, "What the platform gives" (several hundred writes a
 * second).
 */
export class ClaimBatcher {
  readonly #maximumRows: number;
  readonly #maximumTextUnits: number;
  readonly #maximumInFlight: number;
  readonly #lingerMilliseconds: number;
  readonly #deferMilliseconds: number;
  readonly #waiting = new Map<string, WaitingWrite>();
  readonly #deferred = new Map<string, WaitingWrite>();
  readonly #inFlight = new Map<number, readonly QueuedClaimWrite[]>();
  #rowLimit: number;
  #nextBatchId = 1;

  constructor(options: ClaimBatcherOptions = {}) {
    this.#maximumRows = Math.min(
      options.maximumRows ?? MAXIMUM_ROWS_PER_TRANSACTION,
      MAXIMUM_ROWS_PER_TRANSACTION,
    );
    this.#maximumTextUnits = options.maximumTextUnits ??
      DEFAULT_MAXIMUM_TEXT_UNITS;
    this.#maximumInFlight = options.maximumInFlight ??
      DEFAULT_MAXIMUM_IN_FLIGHT;
    this.#lingerMilliseconds = options.lingerMilliseconds ??
      DEFAULT_LINGER_MILLISECONDS;
    this.#deferMilliseconds = options.deferMilliseconds ??
      DEFAULT_DEFER_MILLISECONDS;
    this.#rowLimit = this.#maximumRows;
  }

  /** Number of queued writes. */
  get size(): number {
    return this.#waiting.size + this.#deferred.size;
  }

  /** Queues a write; an operation has at most one pending write. */
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
   * Removes a write that has not been sent. True proves that it will never be
   * sent; pass `unavailable` to its attempt then.
   */
  withdraw(operationId: string): boolean {
    return this.#waiting.delete(operationId) ||
      this.#deferred.delete(operationId);
  }

  /**
   * When to call `takeBatch`, possibly in the past; undefined while nothing can
   * be sent. Changes with every `add`, `takeBatch`, `withdraw` and
   * `completeBatch`.
   */
  dueAt(): number | undefined {
    if (this.size === 0 || this.#inFlight.size >= this.#maximumInFlight) {
      return undefined;
    }
    if (this.size >= this.#rowLimit) return -Infinity;
    return Math.min(earliestDue(this.#waiting), earliestDue(this.#deferred));
  }

  /** Removes and returns the batch that is due now, if any. */
  takeBatch(
    now: number,
    options: { readonly wallClock: number },
  ): ClaimBatch | undefined {
    const dueAt = this.dueAt();
    if (dueAt === undefined || dueAt > now) return undefined;
    const writes = this.#dequeueWrites();
    const batchId = this.#nextBatchId++;
    this.#inFlight.set(batchId, writes);
    return { batchId, transaction: toTransaction(writes, options.wallClock) };
  }

  /**
   * Handles the outcome of a batch and returns the answers for its attempts.
   * Writes without an answer are requeued for the next batch, which is due
   * immediately.
   */
  completeBatch(
    batchId: number,
    outcome: ClaimTransactionOutcome,
  ): readonly ClaimWriteResult[] {
    const writes = this.#inFlight.get(batchId);
    if (writes === undefined) return [];
    this.#inFlight.delete(batchId);
    if (outcome === "unknown" || outcome === "unavailable") {
      return this.#fail(writes, outcome);
    }
    this.#rowLimit = Math.min(this.#maximumRows, this.#rowLimit * 2);
    if (outcome.committed) return this.#commit(writes, outcome.versions);
    return this.#resolveConflicts(writes, outcome);
  }

  #dequeueWrites(): QueuedClaimWrite[] {
    const writes: QueuedClaimWrite[] = [];
    const keys = new Set<string>();
    let textUnits = 0;
    for (const queue of [this.#waiting, this.#deferred]) {
      for (const [operationId, { write }] of queue) {
        if (writes.length >= this.#rowLimit) return writes;
        if (textUnits >= this.#maximumTextUnits) return writes;
        // Two operations on one key would violate each other's conditions.
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

  #resolveConflicts(
    writes: readonly QueuedClaimWrite[],
    answer: Extract<ClaimTransactionAnswer, { readonly committed: false }>,
  ): ClaimWriteResult[] {
    const rows = new Map(answer.conflicts.map(({ key, row }) => [key, row]));
    // An answer that names none of the batch's rows would otherwise cause
    // endless resends without a pause.
    if (!writes.some((write) => rows.has(write.key))) {
      return this.#fail(writes, "unavailable");
    }
    const results: ClaimWriteResult[] = [];
    const unaffected: QueuedClaimWrite[] = [];
    for (const write of writes) {
      const row = rows.get(write.key);
      if (row === undefined) unaffected.push(write);
      else results.push(toResult(write, toConflict(row)));
    }
    this.#requeue(unaffected);
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

function earliestDue(queue: ReadonlyMap<string, WaitingWrite>): number {
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
