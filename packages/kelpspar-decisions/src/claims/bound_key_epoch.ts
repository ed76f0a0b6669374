import { formatBoundKey, parseBoundKey } from "kelpspar-shared";

const EPOCH_AND_REST = /^(0|[1-9][0-9]{0,8})\.(.+)$/;

/** A bound key with its epoch: `@incarnation/epoch.rest`. */
export interface EpochKey {
  readonly incarnation: string;
  /**
   * A small whole number that the incarnation advances. It remembers the keys
   * of the current and the previous epoch, and so need not remember all.
   */
  readonly epoch: number;
  readonly rest: string;
}

/**
 * Reads a key: `free` when the caller chose it, `malformed` when it is bound
 * but carries no epoch.
 */
export function parseEpochKey(key: string): EpochKey | "free" | "malformed" {
  const bound = parseBoundKey(key);
  if (bound === undefined) return "free";
  const match = EPOCH_AND_REST.exec(bound.rest);
  if (match === null) return "malformed";
  const [, epoch = "", rest = ""] = match;
  return { incarnation: bound.incarnation, epoch: Number(epoch), rest };
}

/** Writes a bound key with its epoch. */
export function formatEpochKey(key: EpochKey): string {
  const { incarnation, epoch, rest } = key;
  return formatBoundKey({ incarnation, rest: `${epoch}.${rest}` });
}
