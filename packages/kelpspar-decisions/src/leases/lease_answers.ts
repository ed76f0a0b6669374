import type { LeaseEvent, LeaseState, LeaseStep } from "./lease_state.ts";
import { confirmLease, drop, observeRow } from "./lease_steps.ts";

type LeaseWriteAnswer = Extract<
  LeaseEvent,
  { readonly type: "committed" | "conflict" | "unknown" | "unavailable" }
>;

/** Handles the table's answer to the pending write. */
export function handleLeaseWriteAnswer(
  state: LeaseState,
  answer: LeaseWriteAnswer,
): LeaseStep {
  const { pendingWrite, ...settled } = state;
  if (pendingWrite === undefined) return { state, actions: [] };
  if (answer.type === "conflict") return resolveConflict(settled, answer);
  if (answer.type !== "committed") return rereadRow(settled);
  const { now, version } = answer;
  const { row, sentAt } = pendingWrite;
  if (pendingWrite.isObsolete || pendingWrite.kind === "release") {
    return observeRow(settled, { found: { row, version }, now });
  }
  const { fencingNumber } = row;
  return confirmLease(settled, { fencingNumber, version, sentAt, now });
}

/** Rereads the row on the next tick; it may contain our own write. */
function rereadRow(state: LeaseState): LeaseStep {
  const { readRequestedAt: _readRequestedAt, ...rest } = state;
  return { state: rest, actions: [] };
}

function resolveConflict(
  state: LeaseState,
  answer: Extract<LeaseWriteAnswer, { readonly type: "conflict" }>,
): LeaseStep {
  const { held, holder } = state;
  const { found, now } = answer;
  if (held === undefined) return observeRow(state, { found, now });
  // A renewal whose answer was lost changed the version; the lease is still
  // ours.
  const isOurs = found?.row.holder === holder &&
    found.row.fencingNumber === held.fencingNumber;
  if (isOurs) {
    const { version } = found;
    return { state: { ...state, held: { ...held, version } }, actions: [] };
  }
  const dropped = drop(state);
  const observed = observeRow(dropped.state, { found, now });
  return { state: observed.state, actions: dropped.actions };
}
