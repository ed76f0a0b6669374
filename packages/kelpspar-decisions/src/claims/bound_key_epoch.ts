import { formatBoundKey, parseBoundKey } from "kelpspar-shared";

const EPOCH_AND_REST = /^(0|[1-9][0-9]{0,8})\.(.+)$/;

/** A bound key with its epoch: `@incarnation/epoch.rest`. */
export interface EpochKey {
  readonly incarnation: string;
  /**
   * Small integer that the incarnation advances. The incarnation remembers the
   * keys of the current and the previous epoch only, which bounds its memory.
   */
  readonly epoch: number;
  readonly rest: string;
}

/**
 * Parses a key: `free` if the caller chose it, `malformed` if it is bound but
 * has no epoch.
 */
export function parseEpochKey(key: string): EpochKey | "free" | "malformed" {
  const bound = parseBoundKey(key);
  if (bound === undefined) return "free";
  const match = EPOCH_AND_REST.exec(bound.rest);
  if (match === null) return "malformed";
  const [, epoch = "", rest = ""] = match;
  return { incarnation: bound.incarnation, epoch: Number(epoch), rest };
}

/** Formats a bound key with its epoch. */
export function formatEpochKey(key: EpochKey): string {
  const { incarnation, epoch, rest } = key;
  return formatBoundKey({ incarnation, rest: `${epoch}.${rest}` });
}
