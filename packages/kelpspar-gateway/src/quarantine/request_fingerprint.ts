import type { PromptPart } from "../requests/serving_request.ts";
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
  /** Parts of the prompt, which may not be in the body. */
  readonly promptParts?: readonly PromptPart[];
  readonly body: Uint8Array;
}

/**
 * Identifies a request independently of its attempt id: equal for each repeat
 * by the same caller at any daemon. Hexadecimal; doesn't reveal its contents.
 */
export function requestFingerprint(request: FingerprintedRequest): string {
  const { caller, method, host, target, promptParts = [], body } = request;
  const parts = promptParts.map(({ id, tokens }) => `${id}:${tokens}`);
  return createHash("sha256")
    .update([caller, method, host, target, ...parts, ""].join(SEPARATOR))
    .update(body)
    .digest("hex")
    .slice(0, FINGERPRINT_CHARACTERS);
}
