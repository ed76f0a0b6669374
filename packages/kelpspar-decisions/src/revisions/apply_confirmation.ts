import type {
  ApplyAttempt,
  ApplyEvent,
  ApplyOutcome,
  ApplyStep,
  ConfigurationChange,
} from "./apply_state.ts";
import type { FoundRevision, RevisionRow } from "./revision_row.ts";
import {
  CONFIGURATION_TABLE,
  CURRENT_REVISION_KEY,
  historyKey,
} from "./revision_row.ts";

const ABSENT_VERSION = 0;

/** Table contents read before an apply. */
export interface ApplyBase {
  /** The row `current`; null if no revision was ever accepted. */
  readonly current: FoundRevision | null;
  /**
   * Present if the same change was tried before: the history rows from the base
   * revision of the first attempt on. Writes of that attempt may still arrive,
   * so `not_written` can no longer be proved.
   */
  readonly history?: readonly RevisionRow[];
}

/** Starts to apply a change on top of the table's current revision. */
export function beginApply(
  change: ConfigurationChange,
  base: ApplyBase,
): ApplyStep {
  const { current, history } = base;
  const attempt: ApplyAttempt = {
    change,
    baseRevision: current?.row.revision ?? 0,
    baseVersion: current?.version ?? ABSENT_VERSION,
    mayHaveWritten: history !== undefined,
    phase: "writing",
  };
  const known = [...(history ?? []), ...(current ? [current.row] : [])];
  const revision = findAcceptedChange(known, change.changeId);
  if (revision !== undefined) {
    return finish(attempt, { type: "accepted", revision });
  }
  const { baseRevision } = attempt;
  const { expectedRevision = baseRevision } = change;
  if (expectedRevision !== baseRevision) {
    return finish(attempt, { type: "conflict", revision: baseRevision });
  }
  return commit(attempt);
}

/**
 * Advances an apply by one event.
 *
 * Guards against two failures: the answer to a write is lost and the operator
 * is told that the change failed although it is in force; or two operators are
 * both told that their change is in force. The same transaction is sent again
 * under the same conditions until it commits or conflicts. Either result also
 * settles all earlier sends, including those still in transit, because the
 * version of `current` only increases. The history row, written in the same
 * transaction, distinguishes our change from a competing one when later
 * revisions exist.
 *
 * Source: the brief, "What fails" (lost answers, racing operators).
 */
export function advanceApply(
  attempt: ApplyAttempt,
  event: ApplyEvent,
): ApplyStep {
  if (attempt.phase === "finished") return { attempt, actions: [] };
  return EVENT_HANDLERS[event.type](attempt, event as never);
}

/** Finds a change among accepted revisions, for example an unconfirmed one. */
export function findAcceptedChange(
  rows: Iterable<RevisionRow>,
  changeId: string,
): number | undefined {
  for (const row of rows) if (row.changeId === changeId) return row.revision;
  return undefined;
}

type EventHandlers = {
  readonly [Type in ApplyEvent["type"]]: (
    attempt: ApplyAttempt,
    event: Extract<ApplyEvent, { readonly type: Type }>,
  ) => ApplyStep;
};

const EVENT_HANDLERS: EventHandlers = {
  committed: (attempt) =>
    finish(attempt, { type: "accepted", revision: ownRevision(attempt) }),
  conflict: resolveConflict,
  unknown: (attempt) => wait({ ...attempt, mayHaveWritten: true }),
  unavailable: wait,
  history: (attempt, { found }) => resolveByHistory(attempt, found),
  resend: (attempt) =>
    attempt.competingRevision === undefined ? commit(attempt) : read(attempt),
  give_up: (attempt) =>
    finish(attempt, {
      type: mayBeAccepted(attempt) ? "unconfirmed" : "not_written",
    }),
};

function resolveConflict(
  attempt: ApplyAttempt,
  event: Extract<ApplyEvent, { readonly type: "conflict" }>,
): ApplyStep {
  const { current, history } = event;
  const competingRevision = current?.row.revision ?? history?.row.revision ??
    attempt.baseRevision;
  const conflicting = { ...attempt, competingRevision };
  // A table may report only the first conflicting row. Without the history row,
  // an earlier attempt of the same change that arrived late looks like a
  // competing change.
  return history === undefined
    ? read(conflicting)
    : resolveByHistory(conflicting, history);
}

function resolveByHistory(
  attempt: ApplyAttempt,
  history: FoundRevision | null,
): ApplyStep {
  const { change, competingRevision, baseRevision } = attempt;
  if (history?.row.changeId === change.changeId) {
    return finish(attempt, {
      type: "accepted",
      revision: history.row.revision,
    });
  }
  const revision = competingRevision ?? baseRevision;
  return finish(attempt, { type: "conflict", revision });
}

/** A pending write may still be accepted. */
function mayBeAccepted(attempt: ApplyAttempt): boolean {
  return attempt.mayHaveWritten || attempt.phase === "writing";
}

function ownRevision(attempt: ApplyAttempt): number {
  return attempt.baseRevision + 1;
}

function finish(attempt: ApplyAttempt, outcome: ApplyOutcome): ApplyStep {
  return {
    attempt: { ...attempt, phase: "finished" },
    actions: [{ type: "finish", outcome }],
  };
}

function wait(attempt: ApplyAttempt): ApplyStep {
  return {
    attempt: { ...attempt, phase: "waiting" },
    actions: [{ type: "resend_later" }],
  };
}

function read(attempt: ApplyAttempt): ApplyStep {
  const key = historyKey(ownRevision(attempt));
  return {
    attempt: { ...attempt, phase: "reading" },
    actions: [{ type: "read", table: CONFIGURATION_TABLE, key }],
  };
}

function commit(attempt: ApplyAttempt): ApplyStep {
  const { change, baseVersion } = attempt;
  const revision = ownRevision(attempt);
  const value = { ...change.fields, revision, changeId: change.changeId };
  const table = CONFIGURATION_TABLE;
  const writes = [
    { table, key: CURRENT_REVISION_KEY, value, expectedVersion: baseVersion },
    {
      table,
      key: historyKey(revision),
      value,
      expectedVersion: ABSENT_VERSION,
    },
  ];
  return {
    attempt: { ...attempt, phase: "writing" },
    actions: [{ type: "commit", writes }],
  };
}
