import { createHash, timingSafeEqual } from "node:crypto";

/** SHA-256 of `text` in UTF-8, hexadecimal. */
export function sha256(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}

/**
 * Compares two texts in constant time, so that the time does not reveal where
 * they differ and a key cannot be guessed digit by digit.
 */
export function equalInConstantTime(left: string, right: string): boolean {
  const leftHash = createHash("sha256").update(left).digest();
  const rightHash = createHash("sha256").update(right).digest();
  return timingSafeEqual(leftHash, rightHash);
}
