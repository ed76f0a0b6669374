/** The table that holds the configuration (docs/PLATFORM.md). */
export const CONFIGURATION_TABLE = "configuration";

/** The key of the revision in force. */
export const CURRENT_REVISION_KEY = "current";

const HISTORY_PREFIX = "revision/";
const HISTORY_DIGITS = 8;

/** What every configuration row says, whatever else it carries. */
export interface RevisionRow {
  /** Grows by one with each accepted change; the first is 1. */
  readonly revision: number;
  /** The operator's change; differs for each change. */
  readonly changeId: string;
}

/** A configuration row as read from the table. */
export interface FoundRevision {
  readonly row: RevisionRow;
  readonly version: number;
}

/** The key of an accepted revision's own row, in the order of revisions. */
export function historyKey(revision: number): string {
  return `${HISTORY_PREFIX}${String(revision).padStart(HISTORY_DIGITS, "0")}`;
}

/** Reads the parts that decide from a row's value; undefined if unreadable. */
export function parseRevisionRow(value: unknown): RevisionRow | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const { revision, changeId } = value as Partial<
    Record<keyof RevisionRow, unknown>
  >;
  if (!isRevision(revision) || typeof changeId !== "string") return undefined;
  return { revision, changeId };
}

/** True for the whole numbers from 1 that name revisions. */
export function isRevision(value: unknown): value is number {
  return Number.isSafeInteger(value) && Number(value) >= 1;
}
