/** Table of the configuration (docs/PLATFORM.md). */
export const CONFIGURATION_TABLE = "configuration";

/** Key of the revision in force. */
export const CURRENT_REVISION_KEY = "current";

const HISTORY_PREFIX = "revision/";
const HISTORY_DIGITS = 8;

/** Fields common to all configuration rows. */
export interface RevisionRow {
  /** Increases by one with each accepted change, starting at 1. */
  readonly revision: number;
  /** Id of the operator's change; unique per change. */
  readonly changeId: string;
}

/** A configuration row as read from the table. */
export interface FoundRevision {
  readonly row: RevisionRow;
  readonly version: number;
}

/** Key of an accepted revision's history row; keys sort by revision. */
export function historyKey(revision: number): string {
  return `${HISTORY_PREFIX}${String(revision).padStart(HISTORY_DIGITS, "0")}`;
}

/** Parses the common fields of a row's value; undefined if unreadable. */
export function parseRevisionRow(value: unknown): RevisionRow | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { revision, changeId } = value as Partial<
    Record<keyof RevisionRow, unknown>
  >;
  if (!isRevision(revision) || typeof changeId !== "string") return undefined;
  return { revision, changeId };
}

/** True for valid revision numbers: integers from 1. */
export function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 1;
}
