import type { DaemonCore } from "./create_core.ts";
import type { TimerService } from "kelpspar-shared";

const CHECK_MILLISECONDS = 20;
const LISTED_MILLISECONDS = 500;
/** Without an arrival for so long, the callers are taken to have moved on. */
const QUIET_MILLISECONDS = 500;
/** Callers that do not follow a refusal are not waited for any longer. */
const QUIET_LIMIT_MILLISECONDS = 2_000;
/** How long a stop waits for a store that is down, after the last request. */
const CLAIMS_LIMIT_MILLISECONDS = 10_000;

/** What a planned stop works on. */
export interface DrainOptions {
  readonly core: DaemonCore;
  readonly timer: TimerService;
  /** Tells the peers that this daemon is leaving. */
  readonly announce: () => Promise<void>;
  /** The longest it may take, milliseconds; beyond any deadline. */
  readonly limitMilliseconds: number;
}

/**
 * Ends a daemon's work without cutting any off: it is listed no more, refuses
 * new requests as `not_run` with other addresses, and waits for every request
 * in flight and every claim that is still to be written. It goes on listening
 * for a moment after it was announced, since callers and peers hold answers
 * that name it.
 *
 * Source: the brief, "What must always hold": every planned stop is graceful.
 */
export async function drainDaemon(options: DrainOptions): Promise<void> {
  const { core, timer } = options;
  const startedAt = timer.now();
  core.state.update(() => ({ isLeaving: true }));
  await options.announce();
  let lastRunningAt = startedAt;
  const isDone = (): boolean => {
    const now = timer.now();
    if (now - startedAt >= options.limitMilliseconds) return true;
    if (core.registry.running > 0) lastRunningAt = now;
    if (now - startedAt < LISTED_MILLISECONDS) return false;
    // A request that meets its connection's end cannot be told from one that
    // was cut off, so the listener stays until callers stopped sending.
    const isQuiet = now - core.arrivals.lastArrivalAt >= QUIET_MILLISECONDS ||
      now - startedAt >= QUIET_LIMIT_MILLISECONDS;
    if (!isQuiet) return false;
    if (core.registry.running > 0) return false;
    if (core.claims.open === 0) return true;
    // A result that is not stored costs its caller's retry an answer of
    // `outcome_unknown`; it never makes anything run again.
    return now - lastRunningAt >= CLAIMS_LIMIT_MILLISECONDS;
  };
  await new Promise<void>((resolve) => {
    const stop = timer.registerInterval(() => {
      if (!isDone()) return;
      stop();
      resolve();
    }, CHECK_MILLISECONDS);
  });
}
