import { createHash } from "node:crypto";

/** 80 bits, so that collisions within a fleet don't occur in practice. */
const FINGERPRINT_CHARACTERS = 20;
const SEPARATOR = "\n";

/** The parts that identify a request across its attempts. */
export interface FingerprintedRequest {
  /** The client account, or the key of a caller without an account. */
  readonly caller: string;
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array;
}

/**
 * Identifies a request independently of its attempt id: equal for each repeat
 * by the same caller at any daemon. Hexadecimal; doesn't reveal its contents.
 */
export function requestFingerprint(request: FingerprintedRequest): string {
  const { caller, method, host, target, body } = request;
  return createHash("sha256")
    .update([caller, method, host, target, ""].join(SEPARATOR))
    .update(body)
    .digest("hex")
    .slice(0, FINGERPRINT_CHARACTERS);
}
