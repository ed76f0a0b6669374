import type { DaemonPhase } from "./daemon_phase.ts";

/**
 * Share of the grace period in which callers with outdated addresses may still
 * connect.
 */
const ACCEPTING_SHARE = 0.45;
/** A daemon that accepts nothing for this time isn't needed any longer, ms. */
const IDLE_MILLISECONDS = 1_000;

/** State of a stopping daemon; times are monotonic milliseconds. */
export interface StoppingState {
  readonly phase: DaemonPhase;
  readonly now: number;
  readonly stopRequestedAt: number;
  readonly graceMilliseconds: number;
  /** When open requests have to be given up. */
  readonly endsAt: number;
  /** True while requests or stages of other daemons are in progress. */
  readonly isBusy: boolean;
  /** Since when other daemons serve callers; undefined if none does. */
  readonly replacedSince: number | undefined;
  /** When a request was last accepted. */
  readonly admittedAt: number;
}

/**
 * Returns the phase that a stopping daemon is in now. While no other daemon
 * serves, it listens for as long as it can serve anything itself.
 */
export function nextPhase(state: StoppingState): DaemonPhase {
  const { phase, now, endsAt } = state;
  if (now >= endsAt) return "ending";
  if (phase === "leaving") return mustListen(state) ? "leaving" : "closing";
  return phase === "closing" && !state.isBusy ? "ending" : phase;
}

/** Earliest end of a daemon that was told to stop; monotonic milliseconds. */
export function listensUntil(
  { stopRequestedAt, graceMilliseconds }: Pick<
    StoppingState,
    "stopRequestedAt" | "graceMilliseconds"
  >,
): number {
  return stopRequestedAt + graceMilliseconds * ACCEPTING_SHARE;
}

function mustListen(state: StoppingState): boolean {
  const { now, graceMilliseconds, replacedSince, isBusy, admittedAt } = state;
  if (now < listensUntil(state)) return true;
  if (replacedSince !== undefined) {
    // Callers were told this daemon's address until then.
    return now < replacedSince + graceMilliseconds * ACCEPTING_SHARE;
  }
  return isBusy || now - admittedAt < IDLE_MILLISECONDS;
}
