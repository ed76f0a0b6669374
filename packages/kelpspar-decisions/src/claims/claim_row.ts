import type { ClaimIdentity } from "./claim_identity.ts";
import type { StoredResult } from "./stored_result.ts";

/** Table of claims (docs/PLATFORM.md). */
export const CLAIMS_TABLE = "claims";

const CLAIM_STATES = ["claimed", "done", "released"] as const;

/**
 * - `claimed`: only its daemon may run the request.
 * - `done`: the request ran, and the row contains the result.
 * - `released`: its daemon proved that it never ran the request.
 */
export type ClaimState = typeof CLAIM_STATES[number];

/** Contents of a claim without the time of writing. */
export interface ClaimContent {
  readonly state: ClaimState;
  readonly operationId: string;
  readonly daemon: string;
  readonly requestId: string;
  readonly bodyHash: string;
  readonly result?: StoredResult;
}

/**
 * Value of a row in the table `claims`. A row is never deleted while its key
 * may still be delivered or a write of it may still arrive, because every guard
 * here relies on versions that only increase.
 */
export interface ClaimRow extends ClaimContent {
  /** For diagnostics only; never compared. */
  readonly writtenAtWallClock: number;
}

/** A claim as read from the table. */
export interface FoundClaim {
  /** Undefined if the row is unreadable; it can't be claimed then. */
  readonly content: ClaimContent | undefined;
  readonly version: number;
}

/** Key of the row; account ids contain no slash. */
export function claimKey(account: string, key: string): string {
  return `${account}/${key}`;
}

/** Creates the content of a claim without a result. */
export function createClaimContent(
  state: ClaimState,
  identity: ClaimIdentity,
): ClaimContent {
  const { operationId, daemon, requestId, bodyHash } = identity;
  return { state, operationId, daemon, requestId, bodyHash };
}

/** Parses a row's value; undefined if it is not a claim. */
export function parseClaimContent(value: unknown): ClaimContent | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const row = value as Partial<Record<keyof ClaimContent, unknown>>;
  if (!CLAIM_STATES.some((state) => state === row.state)) return undefined;
  const texts = [row.operationId, row.daemon, row.requestId, row.bodyHash];
  if (!texts.every((text) => typeof text === "string")) return undefined;
  if (row.result !== undefined && !isStoredResult(row.result)) return undefined;
  return value as ClaimContent;
}

function isStoredResult(value: unknown): boolean {
  if (typeof value !== "object" || value === null) return false;
  const result = value as Record<string, unknown>;
  return typeof result["checksum"] === "string" &&
    typeof result["length"] === "number" &&
    (result["tooLarge"] === true || typeof result["text"] === "string");
}
