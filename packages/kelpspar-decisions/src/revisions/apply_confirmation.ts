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

const ABSENT = 0;

/** What the table says before an apply. */
export interface ApplyBase {
  /** The row `current`; null when nothing was ever accepted. */
  readonly current: FoundRevision | null;
  /**
   * Given when the same change was tried before: the history rows from the
   * revision that its first try was built on. Its writes may still arrive, so
   * that `not_written` can't be proved any more.
   */
  readonly history?: readonly RevisionRow[];
}

/** Starts to apply a change on top of what the table says. */
export function beginApply(
  change: ConfigurationChange,
  base: ApplyBase,
): ApplyStep {
  const { current, history } = base;
  const attempt: ApplyAttempt = {
    change,
    baseRevision: current?.row.revision ?? 0,
    baseVersion: current?.version ?? ABSENT,
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
 * Moves an apply on by one event.
 *
 * What goes wrong without it: the answer to the write is lost, the operator is
 * told that the change failed, and it is in force. Or two operators are both
 * told that theirs is in force. Here the same transaction is sent again under
 * the same conditions until it commits or conflicts; either settles what
 * became of all earlier sends, also of those that are still on their way,
 * since the version of `current` only grows. The history row, written in the
 * same transaction, tells our change from a rival's when later revisions stand
 * on top.
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

/** Finds a change among accepted revisions, to look an unconfirmed one up. */
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
  conflict: settleConflict,
  unknown: (attempt) => wait({ ...attempt, mayHaveWritten: true }),
  unavailable: wait,
  history: (attempt, { found }) => settleByHistory(attempt, found),
  resend: (attempt) =>
    attempt.rivalRevision === undefined ? commit(attempt) : read(attempt),
  give_up: (attempt) =>
    finish(attempt, {
      type: mayBeAccepted(attempt) ? "unconfirmed" : "not_written",
    }),
};

function settleConflict(
  attempt: ApplyAttempt,
  event: Extract<ApplyEvent, { readonly type: "conflict" }>,
): ApplyStep {
  const { current, history } = event;
  const rivalRevision = current?.row.revision ?? history?.row.revision ??
    attempt.baseRevision;
  const settled = { ...attempt, rivalRevision };
  // A table may name only the first row in conflict. Without the history row
  // an earlier try of the same change that landed late looks like a rival.
  return history === undefined
    ? read(settled)
    : settleByHistory(settled, history);
}

function settleByHistory(
  attempt: ApplyAttempt,
  history: FoundRevision | null,
): ApplyStep {
  const { change, rivalRevision, baseRevision } = attempt;
  if (history?.row.changeId === change.changeId) {
    return finish(attempt, {
      type: "accepted",
      revision: history.row.revision,
    });
  }
  const revision = rivalRevision ?? baseRevision;
  return finish(attempt, { type: "conflict", revision });
}

/** A write still on its way may yet be accepted. */
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
    { table, key: historyKey(revision), value, expectedVersion: ABSENT },
  ];
  return {
    attempt: { ...attempt, phase: "writing" },
    actions: [{ type: "commit", writes }],
  };
}
