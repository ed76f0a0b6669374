import type { LeaseTerms } from "./lease_terms.ts";
import type { LeaseEvent, LeaseState, LeaseStep } from "./lease_state.ts";
import { DEFAULT_LEASE_TERMS } from "./lease_terms.ts";
import { handleLeaseWriteAnswer } from "./lease_answers.ts";
import {
  acquire,
  drop,
  isAcquirable,
  observeRow,
  release,
  renew,
} from "./lease_steps.ts";

/** Creates the initial state for watching a group's lease. */
export function watchLease(
  holder: string,
  options: {
    readonly now: number;
    readonly terms?: Partial<LeaseTerms>;
  },
): LeaseState {
  return {
    holder,
    terms: { ...DEFAULT_LEASE_TERMS, ...options.terms },
    isStopping: false,
    lastTickAt: options.now,
  };
}

/**
 * Advances a lease by one event.
 *
 * Guards against this failure: a holder is paused, its lease expires, another
 * daemon takes over, and the first resumes and sends orders as if it still held
 * the lease. The symptom is engines that switch models back and forth.
 * Therefore a lease is timed on the monotonic clock from before its write was
 * sent; a gap between ticks drops the lease; and a daemon acquires a lease only
 * after the row has been unchanged, on its own clock, for the lease duration,
 * the longest order time and the clock drift. Clocks of different processes are
 * never compared.
 *
 * One case remains possible at endpoints that ignore fencing numbers: an order
 * that is delayed in transit, or by a process pause between the check and the
 * socket write, for more than the longest order time. The planner compares
 * reported states with desired states and orders such endpoints again.
 *
 * Source: the brief, "What fails" (a lease lapses while its holder is paused).
 */
export function advanceLease(state: LeaseState, event: LeaseEvent): LeaseStep {
  return EVENT_HANDLERS[event.type](state, event as never);
}

/**
 * Fencing number for an order sent now; undefined if no order may be sent. Call
 * it immediately before each order, without awaiting in between.
 */
export function fencingNumberForOrder(
  state: LeaseState,
  now: number,
): number | undefined {
  const { held, terms, lastTickAt, isStopping } = state;
  if (held === undefined || isStopping || now >= held.expiresAt) {
    return undefined;
  }
  // A process that resumes from a pause may get here before its first tick
  // detects the pause.
  const isPaused = now - lastTickAt > terms.pauseMilliseconds;
  return isPaused ? undefined : held.fencingNumber;
}

type EventHandlers = {
  readonly [Type in LeaseEvent["type"]]: (
    state: LeaseState,
    event: Extract<LeaseEvent, { readonly type: Type }>,
  ) => LeaseStep;
};

const EVENT_HANDLERS: EventHandlers = {
  tick,
  seen: (state, { found, now }) => observeRow(state, { found, now }),
  committed: handleLeaseWriteAnswer,
  conflict: handleLeaseWriteAnswer,
  unknown: handleLeaseWriteAnswer,
  unavailable: handleLeaseWriteAnswer,
  stop: (state) => ({ state: { ...state, isStopping: true }, actions: [] }),
};

function tick(
  state: LeaseState,
  event: Extract<LeaseEvent, { readonly type: "tick" }>,
): LeaseStep {
  const { now, wallClock } = event;
  const wasPaused = detectPause(state, event);
  const ticked: LeaseState = {
    ...state,
    lastTickAt: now,
    ...(wallClock === undefined ? {} : { clockOffset: wallClock - now }),
  };
  if (wasPaused) return drop(ticked);
  if (ticked.held !== undefined) return maintain(ticked, now);
  if (ticked.isStopping) return { state: ticked, actions: [] };
  if (isAcquirable(ticked, now)) return acquire(ticked, now);
  return poll(ticked, now);
}

/**
 * A VM suspension may also stop the monotonic clock; then only the wall clock
 * shows it. Setting the wall clock looks the same and costs one lease.
 */
function detectPause(
  state: LeaseState,
  event: Extract<LeaseEvent, { readonly type: "tick" }>,
): boolean {
  const { terms, lastTickAt, clockOffset } = state;
  const { now, wallClock } = event;
  if (now - lastTickAt > terms.pauseMilliseconds) return true;
  if (wallClock === undefined || clockOffset === undefined) return false;
  const shift = Math.abs(wallClock - now - clockOffset);
  return shift > terms.pauseMilliseconds;
}

function maintain(state: LeaseState, now: number): LeaseStep {
  const { held, pendingWrite } = state;
  if (held === undefined) return { state, actions: [] };
  if (now >= held.expiresAt) return drop(state);
  if (pendingWrite !== undefined) return { state, actions: [] };
  if (state.isStopping) return release(state, now);
  return now < held.renewAt ? { state, actions: [] } : renew(state, now);
}

function poll(state: LeaseState, now: number): LeaseStep {
  const { readRequestedAt, terms, pendingWrite } = state;
  const isReadRecent = readRequestedAt !== undefined &&
    now - readRequestedAt < terms.pollMilliseconds;
  if (isReadRecent || pendingWrite !== undefined) return { state, actions: [] };
  return {
    state: { ...state, readRequestedAt: now },
    actions: [{ type: "read" }],
  };
}
