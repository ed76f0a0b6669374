import type { FoundLease, LeaseRow } from "./lease_row.ts";
import type {
  LeaseAction,
  LeaseState,
  LeaseStep,
  LeaseWrite,
} from "./lease_state.ts";

const ABSENT_VERSION = 0;
const RENEWALS_PER_LEASE = 3;

/** True if the row has been unchanged for long enough to acquire the lease. */
export function isAcquirable(state: LeaseState, now: number): boolean {
  const { observed, terms, pendingWrite } = state;
  if (observed === undefined || pendingWrite !== undefined) return false;
  if (observed.found === null || observed.found.row.holder === "") return true;
  const { row } = observed.found;
  // The holder may use other settings than this daemon.
  const lease = Math.max(row.leaseMilliseconds, terms.leaseMilliseconds);
  const order = terms.hasUncheckedEndpoints
    ? Math.max(row.longestOrderMilliseconds, terms.longestOrderMilliseconds)
    : 0;
  const wait = lease + order + terms.driftMilliseconds;
  return now - observed.unchangedSince >= wait;
}

/** Sends an acquisition with the next fencing number. */
export function acquire(state: LeaseState, now: number): LeaseStep {
  const found = state.observed?.found ?? null;
  const fencingNumber = (found?.row.fencingNumber ?? 0) + 1;
  const tried = state.tried?.fencingNumber === fencingNumber
    ? state.tried
    : { fencingNumber, sentAt: now };
  return send({ ...state, tried }, {
    kind: "acquire",
    row: createRow(state, fencingNumber),
    sentAt: now,
    isObsolete: false,
  });
}

/** Sends a renewal; the fencing number stays. */
export function renew(state: LeaseState, now: number): LeaseStep {
  const fencingNumber = state.held?.fencingNumber ?? 0;
  const row = createRow(state, fencingNumber);
  return send(state, { kind: "renew", row, sentAt: now, isObsolete: false });
}

/** Releases the lease, so that the next holder need not wait for its expiry. */
export function release(state: LeaseState, now: number): LeaseStep {
  const fencingNumber = state.held?.fencingNumber ?? 0;
  const row = { ...createRow(state, fencingNumber), holder: "" };
  const sent = send(state, {
    kind: "release",
    row,
    sentAt: now,
    isObsolete: false,
  });
  const { held: _given, ...without } = sent.state;
  return { state: without, actions: [{ type: "lost" }, ...sent.actions] };
}

/** Drops a held lease and marks a pending write as obsolete. */
export function drop(state: LeaseState): LeaseStep {
  const {
    held,
    tried: _tried,
    observed: _observed,
    readRequestedAt: _readRequestedAt,
    ...rest
  } = state;
  const pendingWrite = state.pendingWrite === undefined
    ? {}
    : { pendingWrite: { ...state.pendingWrite, isObsolete: true } };
  const actions: LeaseAction[] = held === undefined ? [] : [{ type: "lost" }];
  return { state: { ...rest, ...pendingWrite }, actions };
}

/** Records the row as read. The wait restarts whenever its version changes. */
export function observeRow(
  state: LeaseState,
  options: { readonly found: FoundLease | null; readonly now: number },
): LeaseStep {
  const { found, now } = options;
  if (state.held !== undefined) return { state, actions: [] };
  const gained = confirmTriedLease(state, options);
  if (gained !== undefined) return gained;
  const { observed } = state;
  const isSame = observed !== undefined &&
    observed.found?.version === found?.version;
  const unchangedSince = isSame ? observed.unchangedSince : now;
  return {
    state: { ...state, observed: { found, unchangedSince } },
    actions: [],
  };
}

/** Holds the lease confirmed by a write, unless it has already expired. */
export function confirmLease(
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
  const expiresAt = sentAt + leaseMilliseconds;
  const renewAt = sentAt + leaseMilliseconds / RENEWALS_PER_LEASE;
  const held = { fencingNumber, version, expiresAt, renewAt };
  if (now >= expiresAt) return drop(rest);
  const isNew = state.held === undefined;
  return {
    state: { ...rest, held },
    actions: isNew ? [{ type: "gained", fencingNumber }] : [],
  };
}

/**
 * Confirms an acquisition whose answer was lost but which appears in the row.
 * It took effect after it was first sent, so counting the lease from that time
 * is safe.
 */
export function confirmTriedLease(
  state: LeaseState,
  options: { readonly found: FoundLease | null; readonly now: number },
): LeaseStep | undefined {
  const { found, now } = options;
  const { tried, holder } = state;
  if (tried === undefined || found === null) return undefined;
  const { row, version } = found;
  const isOurs = row.holder === holder &&
    row.fencingNumber === tried.fencingNumber;
  return isOurs ? confirmLease(state, { ...tried, version, now }) : undefined;
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

function send(state: LeaseState, pendingWrite: LeaseWrite): LeaseStep {
  const expectedVersion = state.held?.version ??
    state.observed?.found?.version ??
    ABSENT_VERSION;
  return {
    state: { ...state, pendingWrite },
    actions: [{ type: "write", row: pendingWrite.row, expectedVersion }],
  };
}
