import type { ApplyAttempt, ApplyEvent } from "./apply_state.ts";
import type { FoundRevision } from "./revision_row.ts";
import {
  CURRENT_REVISION_KEY,
  historyKey,
  parseRevisionRow,
} from "./revision_row.ts";

/** A row in the form that the table service gives. */
export interface RevisionTableRow {
  readonly value: unknown;
  readonly version: number;
}

/** The answer to an apply's transaction, as the table service gives it. */
export type ApplyTransactionAnswer =
  | { readonly committed: true }
  | {
    readonly committed: false;
    readonly conflicts: readonly {
      readonly key: string;
      readonly row: RevisionTableRow | null;
    }[];
  };

/** Turns the table's answer to an apply's transaction into an event. */
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

/** Reads a configuration row; null when it is absent or unreadable. */
export function toFoundRevision(
  found: RevisionTableRow | null,
): FoundRevision | null {
  const row = parseRevisionRow(found?.value);
  if (found === null || row === undefined) return null;
  return { row, version: found.version };
}
