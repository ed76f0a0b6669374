import type {
  LedgerDecision,
  LedgerLookup,
  LedgerRefusal,
  LedgerRequest,
} from "./ledger_decision.ts";
import type { LedgerEntry } from "./ledger_entry.ts";
import type { StoredResult } from "./stored_result.ts";
import { parseEpochKey } from "./bound_key_epoch.ts";
import { claimKey } from "./claim_row.ts";
import { EndedEntries } from "./ended_entries.ts";
import {
  estimateEntryBytes,
  estimateResultBytes,
  limitResult,
} from "./ledger_entry.ts";

const DEFAULT_RESULT_KEEP_MILLISECONDS = 900_000;
const DEFAULT_RESULT_KEEP_BYTES = 64 * 1024;
const DEFAULT_TOTAL_BYTES = 64 * 1024 * 1024;

/** Options of `KeyLedger`. */
export interface KeyLedgerOptions {
  /** Incarnation of this daemon. */
  readonly incarnation: string;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /**
   * Retention of results and duration of an epoch, milliseconds; default
   * 900,000.
   */
  readonly resultKeepMilliseconds?: number;
  /** Maximum size of a retained text, bytes in UTF-8; default 64 KiB. */
  readonly resultKeepBytes?: number;
  /** Maximum memory of all entries, bytes; default 64 MiB. */
  readonly totalBytes?: number;
}

/** Identifies a run. */
export type LedgerRun = Pick<LedgerRequest, "account" | "key" | "requestId">;

/**
 * Idempotency keys that this daemon has run or is running.
 *
 * Guards against this failure: a caller whose connection went silent sends the
 * same booking again to the same daemon, and it runs twice. A free key is also
 * protected by the claim in the table, so its entry may be dropped. For a key
 * bound to this incarnation this memory is the only guard: the record that it
 * ran is kept while its epoch is accepted; only its result may be dropped. When
 * such records fill the memory, new requests are refused as `overloaded`.
 *
 * Source: the brief, "What must always hold" (at most once).
 */
export class KeyLedger {
  readonly #incarnation: string;
  readonly #totalBytes: number;
  readonly #running = new Map<string, LedgerEntry>();
  readonly #ended = new EndedEntries();
  #resultKeepMilliseconds: number;
  #resultKeepBytes: number;
  #runningBytes = 0;
  #epoch = 0;
  #epochStartedAt: number;

  constructor(options: KeyLedgerOptions) {
    this.#incarnation = options.incarnation;
    this.#epochStartedAt = options.startedAt;
    this.#totalBytes = options.totalBytes ?? DEFAULT_TOTAL_BYTES;
    this.#resultKeepMilliseconds = options.resultKeepMilliseconds ??
      DEFAULT_RESULT_KEEP_MILLISECONDS;
    this.#resultKeepBytes = options.resultKeepBytes ??
      DEFAULT_RESULT_KEEP_BYTES;
  }

  /** Upper estimate of the memory used by all entries, bytes. */
  get bytes(): number {
    return this.#runningBytes + this.#ended.bytes;
  }

  /** Epoch for new bound keys. Advances with time, also while idle. */
  advanceEpoch(now: number): number {
    const keepMilliseconds = this.#resultKeepMilliseconds;
    const passed = Math.floor((now - this.#epochStartedAt) / keepMilliseconds);
    if (passed <= 0) return this.#epoch;
    this.#epoch += passed;
    this.#epochStartedAt += passed * keepMilliseconds;
    this.#ended.dropEpochsBefore(this.#epoch - 1);
    return this.#epoch;
  }

  /** Applies the limits of a newly accepted configuration. */
  configure(limits: {
    readonly resultKeepMilliseconds: number;
    readonly resultKeepBytes: number;
  }, now: number): void {
    this.advanceEpoch(now);
    this.#resultKeepMilliseconds = limits.resultKeepMilliseconds;
    this.#resultKeepBytes = limits.resultKeepBytes;
  }

  /**
   * Looks up a request and, if the decision is `run`, records it as running.
   * Every `run` must be ended by `complete`, `fail` or `discard`.
   */
  begin(request: LedgerRequest, now: number): LedgerDecision {
    this.#evictExpired(now);
    const id = claimKey(request.account, request.key);
    const parsed = parseEpochKey(request.key);
    const known = this.#find(id, parsed, now);
    if (known !== undefined) return this.#decideKnown(known, request, now);
    const refusal = this.#refusalOf(parsed);
    if (refusal !== undefined) return refused(refusal);
    return this.#record(id, request, parsed);
  }

  /** Looks up a key without starting a run. */
  lookUp(
    name: Pick<LedgerRequest, "account" | "key">,
    now: number,
  ): LedgerLookup | undefined {
    this.#evictExpired(now);
    const id = claimKey(name.account, name.key);
    const entry = this.#find(id, parseEpochKey(name.key), now);
    return entry === undefined ? undefined : this.#describe(entry, now);
  }

  /**
   * Stores a run's result, also if its outcome was unknown before. Ignored
   * unless that run is still recorded.
   */
  complete(run: LedgerRun, options: {
    readonly result: StoredResult;
    readonly now: number;
  }): void {
    const result = limitResult(options.result, this.#resultKeepBytes);
    this.#end(run, { result, now: options.now });
  }

  /**
   * Ends a run whose outcome is unknown. The key never runs again at this
   * daemon.
   */
  fail(run: LedgerRun, now: number): void {
    this.#end(run, { result: undefined, now });
  }

  /** Ends a run that provably did not start; the key may run again. */
  discard(run: LedgerRun): void {
    this.#removeRunning(run);
  }

  #find(id: string, parsed: ParsedKey, now: number): LedgerEntry | undefined {
    const running = this.#running.get(id);
    if (running !== undefined) return running;
    const ended = this.#ended.get(id, epochOf(parsed));
    if (ended?.epoch !== undefined || !this.#isExpired(ended, now)) {
      return ended;
    }
    this.#ended.remove(ended);
    return undefined;
  }

  #isExpired(
    entry: LedgerEntry | undefined,
    now: number,
  ): entry is LedgerEntry {
    if (entry?.ending === undefined) return false;
    return now - entry.ending.endedAt >= this.#resultKeepMilliseconds;
  }

  #decideKnown(
    entry: LedgerEntry,
    request: LedgerRequest,
    now: number,
  ): LedgerDecision {
    if (entry.bodyHash !== request.bodyHash) return { type: "reused" };
    const found = this.#describe(entry, now);
    if (found.state === "completed") {
      return { type: "completed", result: found.result };
    }
    if (found.state !== "running") return refused(found.state);
    return { type: "attach", requestId: found.requestId };
  }

  #describe(entry: LedgerEntry, now: number): LedgerLookup {
    const { requestId, ending } = entry;
    if (ending === undefined) return { requestId, state: "running" };
    const { result, isDropped } = ending;
    if (isDropped) return { requestId, state: "result_expired" };
    if (result === undefined) return { requestId, state: "outcome_unknown" };
    if (this.#isExpired(entry, now)) {
      return { requestId, state: "result_expired" };
    }
    return { requestId, state: "completed", result };
  }

  #refusalOf(
    parsed: ParsedKey,
  ): LedgerRefusal | undefined {
    if (parsed === "free") return undefined;
    if (parsed === "malformed") return "malformed_request";
    if (parsed.incarnation !== this.#incarnation) return "wrong_daemon";
    if (parsed.epoch > this.#epoch) return "malformed_request";
    // The records of that epoch were removed, so the key may have run.
    if (parsed.epoch < this.#epoch - 1) return "outcome_unknown";
    return undefined;
  }

  #record(
    id: string,
    request: LedgerRequest,
    parsed: ParsedKey,
  ): LedgerDecision {
    const bytes = estimateEntryBytes(id, request.bodyHash);
    this.#evictToFit(bytes);
    if (this.bytes + bytes > this.#totalBytes) return refused("overloaded");
    const { bodyHash, requestId } = request;
    const epoch = epochOf(parsed);
    this.#runningBytes += bytes;
    this.#running.set(id, {
      id,
      bodyHash,
      requestId,
      epoch,
      bytes,
      ending: undefined,
    });
    return { type: "run", bound: epoch !== undefined };
  }

  #end(run: LedgerRun, ending: {
    readonly result: StoredResult | undefined;
    readonly now: number;
  }): void {
    this.#evictExpired(ending.now);
    const entry = this.#removeRunning(run) ??
      this.#removeUnknown(run, ending.now);
    if (entry === undefined) return;
    if (entry.epoch !== undefined && entry.epoch < this.#epoch - 1) return;
    const { result, now } = ending;
    this.#evictToFit(entry.bytes + estimateResultBytes(result));
    entry.ending = { endedAt: now, result, isDropped: false };
    this.#ended.add(entry);
    this.#evictToFit(0);
  }

  #removeUnknown(run: LedgerRun, now: number): LedgerEntry | undefined {
    const id = claimKey(run.account, run.key);
    const entry = this.#find(id, parseEpochKey(run.key), now);
    if (entry?.requestId !== run.requestId) return undefined;
    const { state } = this.#describe(entry, now);
    if (state !== "outcome_unknown") return undefined;
    this.#ended.remove(entry);
    return entry;
  }

  #removeRunning(run: LedgerRun): LedgerEntry | undefined {
    const id = claimKey(run.account, run.key);
    const entry = this.#running.get(id);
    if (entry?.requestId !== run.requestId) return undefined;
    this.#running.delete(id);
    this.#runningBytes -= entry.bytes;
    return entry;
  }

  #evictExpired(now: number): void {
    this.advanceEpoch(now);
    this.#ended.dropEndedBefore(now - this.#resultKeepMilliseconds);
  }

  #evictToFit(bytes: number): void {
    while (this.bytes + bytes > this.#totalBytes) {
      if (!this.#ended.dropOldest()) return;
    }
  }
}

type ParsedKey = ReturnType<typeof parseEpochKey>;

function epochOf(parsed: ParsedKey): number | undefined {
  return typeof parsed === "string" ? undefined : parsed.epoch;
}

function refused(result: LedgerRefusal): LedgerDecision {
  return { type: "refused", result };
}
