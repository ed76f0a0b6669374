import { createHash } from "node:crypto";

/** 80 bits: two requests of one fleet never share a fingerprint in practice. */
const FINGERPRINT_CHARACTERS = 20;
const SEPARATOR = "\n";

/** What makes two attempts the same request. */
export interface FingerprintedRequest {
  /** The client account, or the key of a caller without one. */
  readonly caller: string;
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Uint8Array;
}

/**
 * Names a request whatever the id of its attempt: the same for each repeat by
 * the same caller, at any daemon. Hexadecimal; tells nothing of its contents.
 */
export function requestFingerprint(request: FingerprintedRequest): string {
  const { caller, method, host, target, body } = request;
  return createHash("sha256")
    .update([caller, method, host, target, ""].join(SEPARATOR))
    .update(body)
    .digest("hex")
    .slice(0, FINGERPRINT_CHARACTERS);
}
