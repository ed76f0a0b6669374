import type { ClaimIdentity } from "./claim_identity.ts";
import type { StoredResult } from "./stored_result.ts";

/** The table that holds claims (docs/PLATFORM.md). */
export const CLAIMS_TABLE = "claims";

const CLAIM_STATES = ["claimed", "done", "released"] as const;

/**
 * `claimed`: its daemon alone may run the request. `done`: it ran, and the
 * result is here. `released`: its daemon proved that it never ran it.
 */
export type ClaimState = typeof CLAIM_STATES[number];

/** What a claim says, without the time of writing. */
export interface ClaimContent {
  readonly state: ClaimState;
  readonly operationId: string;
  readonly daemon: string;
  readonly requestId: string;
  readonly bodyHash: string;
  readonly result?: StoredResult;
}

/**
 * The value of a row in the table `claims`. A row is never deleted while its
 * key may still be delivered or a write of it may still arrive, since every
 * guard here rests on versions that only grow.
 */
export interface ClaimRow extends ClaimContent {
  /** For people; never compared. */
  readonly writtenAtWallClock: number;
}

/** A claim as read from the table. */
export interface FoundClaim {
  /** Undefined when the row cannot be read; then nobody may claim it. */
  readonly content: ClaimContent | undefined;
  readonly version: number;
}

/** The row's key; account ids contain no slash. */
export function claimKey(account: string, key: string): string {
  return `${account}/${key}`;
}

/** The content of a claim that has no result. */
export function createClaimContent(
  state: ClaimState,
  identity: ClaimIdentity,
): ClaimContent {
  const { operationId, daemon, requestId, bodyHash } = identity;
  return { state, operationId, daemon, requestId, bodyHash };
}

/** Reads a row's value; undefined when it is not a claim. */
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
