import type { StoredResult } from "./stored_result.ts";

/** Ledger entry of one key. */
export interface LedgerEntry {
  /** Account and key, as in the table. */
  readonly id: string;
  readonly bodyHash: string;
  readonly requestId: string;
  /** Epoch of a bound key; undefined for a free key. */
  readonly epoch: number | undefined;
  /** Memory used without the result, bytes. */
  readonly bytes: number;
  /** How the request ended; undefined while it runs. */
  ending: LedgerEnding | undefined;
}

/** How a request ended. */
export interface LedgerEnding {
  /** Monotonic milliseconds. */
  readonly endedAt: number;
  /** Undefined if the outcome is unknown. */
  readonly result: StoredResult | undefined;
  /** True once the result was dropped to free memory; only for bound keys. */
  readonly isDropped: boolean;
}

const ENTRY_OVERHEAD_BYTES = 256;
const BYTES_PER_TEXT_UNIT = 2;

/** Upper estimate of an entry's memory without its result, bytes. */
export function estimateEntryBytes(
  id: string,
  bodyHash: string,
): number {
  return ENTRY_OVERHEAD_BYTES +
    BYTES_PER_TEXT_UNIT * (id.length + bodyHash.length);
}

/** Upper estimate of the memory used by a result's text, bytes. */
export function estimateResultBytes(result: StoredResult | undefined): number {
  if (result === undefined || !("text" in result)) return 0;
  return BYTES_PER_TEXT_UNIT * result.text.length;
}

/** Returns the result to retain, without its text if that exceeds the limit. */
export function limitResult(
  result: StoredResult,
  maximumBytes: number,
): StoredResult {
  if (!("text" in result)) return result;
  const { text, checksum, length } = result;
  const isTooLarge = text.length > maximumBytes ||
    Buffer.byteLength(text) > maximumBytes;
  return isTooLarge ? { tooLarge: true, checksum, length } : result;
}
