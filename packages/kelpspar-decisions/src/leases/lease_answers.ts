import type { LeaseEvent, LeaseState, LeaseStep } from "./lease_state.ts";
import { drop, gain, see } from "./lease_steps.ts";

type LeaseWriteAnswer = Extract<
  LeaseEvent,
  { readonly type: "committed" | "conflict" | "unknown" | "unavailable" }
>;

/** Takes the table's answer to the write that is on its way. */
export function answerLeaseWrite(
  state: LeaseState,
  answer: LeaseWriteAnswer,
): LeaseStep {
  const { writing, ...settled } = state;
  if (writing === undefined) return { state, actions: [] };
  if (answer.type === "conflict") return meetRival(settled, answer);
  if (answer.type !== "committed") return askAgain(settled);
  const { now, version } = answer;
  const { row, sentAt } = writing;
  if (writing.isVoid || writing.kind === "release") {
    return see(settled, { found: { row, version }, now });
  }
  const { fencingNumber } = row;
  return gain(settled, { fencingNumber, version, sentAt, now });
}

/** Looks at the row on the next tick: it may show our own write. */
function askAgain(state: LeaseState): LeaseStep {
  const { askedAt: _asked, ...rest } = state;
  return { state: rest, actions: [] };
}

function meetRival(
  state: LeaseState,
  answer: Extract<LeaseWriteAnswer, { readonly type: "conflict" }>,
): LeaseStep {
  const { held, holder } = state;
  const { found, now } = answer;
  if (held === undefined) return see(state, { found, now });
  // A renewal whose answer was lost moved the version: still our lease.
  const isOurs = found?.row.holder === holder &&
    found.row.fencingNumber === held.fencingNumber;
  if (isOurs) {
    const { version } = found;
    return { state: { ...state, held: { ...held, version } }, actions: [] };
  }
  const dropped = drop(state);
  const seen = see(dropped.state, { found, now });
  return { state: seen.state, actions: dropped.actions };
}
