import type { LeaseTerms } from "./lease_terms.ts";
import type { LeaseEvent, LeaseState, LeaseStep } from "./lease_state.ts";
import { DEFAULT_LEASE_TERMS } from "./lease_terms.ts";
import { answerLeaseWrite } from "./lease_answers.ts";
import {
  acquire,
  drop,
  isTakeable,
  release,
  renew,
  see,
} from "./lease_steps.ts";

/** Starts to watch a group's lease. */
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
 * Moves a lease on by one event.
 *
 * What goes wrong without it: a holder is paused, its lease lapses, another
 * takes over, and the first wakes and orders engines as if it still held it.
 * It shows as engines that change models to and fro. Time is therefore counted
 * on the monotonic clock from before a write was sent; a gap between ticks
 * drops the lease; a taker waits until the row stood unchanged, on its own
 * clock, for the lease, the longest order and the drift of clocks. No clock of
 * one process is compared with that of another.
 *
 * What remains possible at endpoints that ignore fencing numbers: an order
 * that is on its way, or in a process that pauses between the check and the
 * socket, for longer than the longest order time. The planner compares what
 * endpoints report with what is desired, and orders them right again.
 *
 * Source: the brief, "What fails" (a lease lapses while its holder is paused).
 */
export function advanceLease(state: LeaseState, event: LeaseEvent): LeaseStep {
  return EVENT_HANDLERS[event.type](state, event as never);
}

/**
 * The fencing number that an order may carry now; undefined when none may be
 * sent. To be asked right before each order, with no wait in between.
 */
export function fencingNumberForOrder(
  state: LeaseState,
  now: number,
): number | undefined {
  const { held, terms, lastTickAt, isStopping } = state;
  if (held === undefined || isStopping || now >= held.heldUntil) {
    return undefined;
  }
  // A process that just woke sends before its first tick notices the pause.
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
  seen: (state, { found, now }) => see(state, { found, now }),
  committed: answerLeaseWrite,
  conflict: answerLeaseWrite,
  unknown: answerLeaseWrite,
  unavailable: answerLeaseWrite,
  stop: (state) => ({ state: { ...state, isStopping: true }, actions: [] }),
};

function tick(
  state: LeaseState,
  event: Extract<LeaseEvent, { readonly type: "tick" }>,
): LeaseStep {
  const { now, wallClock } = event;
  const wasPaused = noticesPause(state, event);
  const ticked: LeaseState = {
    ...state,
    lastTickAt: now,
    ...(wallClock === undefined ? {} : { clockOffset: wallClock - now }),
  };
  if (wasPaused) return drop(ticked);
  if (ticked.held !== undefined) return keep(ticked, now);
  if (ticked.isStopping) return { state: ticked, actions: [] };
  if (isTakeable(ticked, now)) return acquire(ticked, now);
  return poll(ticked, now);
}

/**
 * A suspended VM may stop the monotonic clock as well; then only the wall
 * clock tells. A wall clock that was set looks the same and costs a lease.
 */
function noticesPause(
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

function keep(state: LeaseState, now: number): LeaseStep {
  const { held, writing } = state;
  if (held === undefined) return { state, actions: [] };
  if (now >= held.heldUntil) return drop(state);
  if (writing !== undefined) return { state, actions: [] };
  if (state.isStopping) return release(state, now);
  return now < held.renewAt ? { state, actions: [] } : renew(state, now);
}

function poll(state: LeaseState, now: number): LeaseStep {
  const { askedAt, terms, writing } = state;
  const isAsked = askedAt !== undefined &&
    now - askedAt < terms.pollMilliseconds;
  if (isAsked || writing !== undefined) return { state, actions: [] };
  return { state: { ...state, askedAt: now }, actions: [{ type: "read" }] };
}
