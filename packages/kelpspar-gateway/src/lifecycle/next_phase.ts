import type { DaemonPhase } from "./daemon_phase.ts";

/**
 * Share of the grace period in which callers with outdated addresses may still
 * connect.
 */
const ACCEPTING_SHARE = 0.45;

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
}

/** Returns the phase that a stopping daemon is in now. */
export function nextPhase(state: StoppingState): DaemonPhase {
  const { phase, now, stopRequestedAt, graceMilliseconds, endsAt } = state;
  if (now >= endsAt) return "ending";
  const acceptsUntil = stopRequestedAt + graceMilliseconds * ACCEPTING_SHARE;
  if (phase === "leaving") return now >= acceptsUntil ? "closing" : "leaving";
  return phase === "closing" && !state.isBusy ? "ending" : phase;
}
