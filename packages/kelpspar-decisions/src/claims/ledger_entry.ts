import type { StoredResult } from "./stored_result.ts";

/** What the ledger remembers of one key. */
export interface LedgerEntry {
  /** The account and the key, as in the table. */
  readonly id: string;
  readonly bodyHash: string;
  readonly requestId: string;
  /** The epoch of a bound key; undefined for a free one. */
  readonly epoch: number | undefined;
  /** What it takes without its result, bytes. */
  readonly bytes: number;
  /** How it ended; undefined while it runs. */
  ending: LedgerEnding | undefined;
}

/** How a request ended. */
export interface LedgerEnding {
  /** Monotonic milliseconds. */
  readonly endedAt: number;
  /** Undefined when the outcome is unknown. */
  readonly result: StoredResult | undefined;
  /** True once the result was dropped for space; only for bound keys. */
  readonly isDropped: boolean;
}

const ENTRY_OVERHEAD_BYTES = 256;
const BYTES_A_UNIT = 2;

/** An upper estimate of what an entry takes without its result, bytes. */
export function estimateEntryBytes(
  id: string,
  bodyHash: string,
): number {
  return ENTRY_OVERHEAD_BYTES + BYTES_A_UNIT * (id.length + bodyHash.length);
}

/** An upper estimate of what a result's text takes in memory, bytes. */
export function estimateResultBytes(result: StoredResult | undefined): number {
  if (result === undefined || !("text" in result)) return 0;
  return BYTES_A_UNIT * result.text.length;
}

/** The result as it is kept: without its text when that is over the limit. */
export function limitResult(
  result: StoredResult,
  mostBytes: number,
): StoredResult {
  if (!("text" in result)) return result;
  const { text, checksum, length } = result;
  const isTooLarge = text.length > mostBytes ||
    Buffer.byteLength(text) > mostBytes;
  return isTooLarge ? { tooLarge: true, checksum, length } : result;
}
