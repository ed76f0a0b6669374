import { crc32 } from "node:zlib";

/**
 * Extends a CRC-32 by `text` in UTF-8. The initial checksum is 0. Pieces must
 * not split a surrogate pair, since half a pair has no UTF-8 encoding.
 */
export function extendChecksum(checksum: number, text: string): number {
  return crc32(text, checksum);
}

/** Formats a checksum as eight hexadecimal digits. */
export function formatChecksum(checksum: number): string {
  return (checksum >>> 0).toString(16).padStart(8, "0");
}
