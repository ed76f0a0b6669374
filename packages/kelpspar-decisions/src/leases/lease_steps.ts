import type { FoundLease, LeaseRow } from "./lease_row.ts";
import type {
  LeaseAction,
  LeaseState,
  LeaseStep,
  LeaseWrite,
} from "./lease_state.ts";

const ABSENT = 0;
const RENEWALS_A_LEASE = 3;

/** True when the row has stood unchanged for long enough to be taken. */
export function isTakeable(state: LeaseState, now: number): boolean {
  const { seen, terms, writing } = state;
  if (seen === undefined || writing !== undefined) return false;
  if (seen.found === null || seen.found.row.holder === "") return true;
  const { row } = seen.found;
  // The holder may go by other settings than this daemon.
  const lease = Math.max(row.leaseMilliseconds, terms.leaseMilliseconds);
  const order = terms.hasUncheckedEndpoints
    ? Math.max(row.longestOrderMilliseconds, terms.longestOrderMilliseconds)
    : 0;
  const wait = lease + order + terms.driftMilliseconds;
  return now - seen.firstSeenAt >= wait;
}

/** Sends an acquisition with the next fencing number. */
export function acquire(state: LeaseState, now: number): LeaseStep {
  const found = state.seen?.found ?? null;
  const fencingNumber = (found?.row.fencingNumber ?? 0) + 1;
  const tried = state.tried?.fencingNumber === fencingNumber
    ? state.tried
    : { fencingNumber, sentAt: now };
  return send({ ...state, tried }, {
    kind: "acquire",
    row: createRow(state, fencingNumber),
    sentAt: now,
    isVoid: false,
  });
}

/** Sends a renewal; the fencing number stays. */
export function renew(state: LeaseState, now: number): LeaseStep {
  const fencingNumber = state.held?.fencingNumber ?? 0;
  const row = createRow(state, fencingNumber);
  return send(state, { kind: "renew", row, sentAt: now, isVoid: false });
}

/** Gives the lease back: the next holder need not wait. */
export function release(state: LeaseState, now: number): LeaseStep {
  const fencingNumber = state.held?.fencingNumber ?? 0;
  const row = { ...createRow(state, fencingNumber), holder: "" };
  const sent = send(state, {
    kind: "release",
    row,
    sentAt: now,
    isVoid: false,
  });
  const { held: _given, ...without } = sent.state;
  return { state: without, actions: [{ type: "lost" }, ...sent.actions] };
}

/** Gives up whatever is held or on its way. */
export function drop(state: LeaseState): LeaseStep {
  const { held, tried: _tried, seen: _seen, askedAt: _askedAt, ...rest } =
    state;
  const writing = state.writing === undefined
    ? {}
    : { writing: { ...state.writing, isVoid: true } };
  const actions: LeaseAction[] = held === undefined ? [] : [{ type: "lost" }];
  return { state: { ...rest, ...writing }, actions };
}

/** Takes a row as read. The time starts anew whenever its version changes. */
export function see(
  state: LeaseState,
  options: { readonly found: FoundLease | null; readonly now: number },
): LeaseStep {
  const { found, now } = options;
  if (state.held !== undefined) return { state, actions: [] };
  const gained = gainTried(state, options);
  if (gained !== undefined) return gained;
  const { seen } = state;
  const isSame = seen !== undefined &&
    seen.found?.version === found?.version;
  const firstSeenAt = isSame ? seen.firstSeenAt : now;
  return { state: { ...state, seen: { found, firstSeenAt } }, actions: [] };
}

/** Holds the lease that a write confirmed, unless its time is over already. */
export function gain(
  state: LeaseState,
  confirmed: {
    readonly fencingNumber: number;
    readonly version: number;
    readonly sentAt: number;
    readonly now: number;
  },
): LeaseStep {
  const { fencingNumber, version, sentAt, now } = confirmed;
  const { tried: _tried, ...rest } = state;
  const { leaseMilliseconds } = state.terms;
  const heldUntil = sentAt + leaseMilliseconds;
  const renewAt = sentAt + leaseMilliseconds / RENEWALS_A_LEASE;
  const held = { fencingNumber, version, heldUntil, renewAt };
  if (now >= heldUntil) return drop(rest);
  const isNew = state.held === undefined;
  return {
    state: { ...rest, held },
    actions: isNew ? [{ type: "gained", fencingNumber }] : [],
  };
}

/**
 * An acquisition whose answer was lost shows in the row. It took effect after
 * it was first sent, so that the time from then on is safe to use.
 */
export function gainTried(
  state: LeaseState,
  options: { readonly found: FoundLease | null; readonly now: number },
): LeaseStep | undefined {
  const { found, now } = options;
  const { tried, holder } = state;
  if (tried === undefined || found === null) return undefined;
  const { row, version } = found;
  const isOurs = row.holder === holder &&
    row.fencingNumber === tried.fencingNumber;
  return isOurs ? gain(state, { ...tried, version, now }) : undefined;
}

function createRow(state: LeaseState, fencingNumber: number): LeaseRow {
  const { leaseMilliseconds, longestOrderMilliseconds } = state.terms;
  return {
    holder: state.holder,
    fencingNumber,
    leaseMilliseconds,
    longestOrderMilliseconds,
  };
}

function send(state: LeaseState, writing: LeaseWrite): LeaseStep {
  const expectedVersion = state.held?.version ?? state.seen?.found?.version ??
    ABSENT;
  return {
    state: { ...state, writing },
    actions: [{ type: "write", row: writing.row, expectedVersion }],
  };
}
