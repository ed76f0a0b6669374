import type { ApplyAttempt, ApplyEvent } from "./apply_state.ts";
import type { FoundRevision } from "./revision_row.ts";
import {
  CURRENT_REVISION_KEY,
  historyKey,
  parseRevisionRow,
} from "./revision_row.ts";

/** A row as returned by the table service. */
export interface RevisionTableRow {
  readonly value: unknown;
  readonly version: number;
}

/** Answer of the table service to an apply's transaction. */
export type ApplyTransactionAnswer =
  | { readonly committed: true }
  | {
    readonly committed: false;
    readonly conflicts: readonly {
      readonly key: string;
      readonly row: RevisionTableRow | null;
    }[];
  };

/** Converts the table's answer to an apply's transaction into an event. */
export function toApplyEvent(
  attempt: ApplyAttempt,
  answer: ApplyTransactionAnswer,
): ApplyEvent {
  if (answer.committed) return { type: "committed" };
  const ownKey = historyKey(attempt.baseRevision + 1);
  const rows = new Map(answer.conflicts.map(({ key, row }) => [key, row]));
  const current = rows.get(CURRENT_REVISION_KEY);
  const history = rows.get(ownKey);
  return {
    type: "conflict",
    ...(current === undefined ? {} : { current: toFoundRevision(current) }),
    ...(history === undefined ? {} : { history: toFoundRevision(history) }),
  };
}

/** Parses a configuration row; null if it is absent or unreadable. */
export function toFoundRevision(
  found: RevisionTableRow | null,
): FoundRevision | null {
  const row = parseRevisionRow(found?.value);
  if (found === null || row === undefined) return null;
  return { row, version: found.version };
}
