import type { DaemonCore } from "./create_core.ts";
import type { TimerService } from "kelpspar-shared";

const POLL_MILLISECONDS = 20;
const MINIMUM_LISTEN_MILLISECONDS = 500;
/** Callers count as redirected after this time without an arrival. */
const QUIET_PERIOD_MILLISECONDS = 500;
/** Maximum wait for callers that keep sending despite being refused. */
const QUIET_TIMEOUT_MILLISECONDS = 2_000;
/** Maximum wait for open claims during a store outage, after the last request. */
const CLAIMS_TIMEOUT_MILLISECONDS = 10_000;

/** Dependencies and time limit of a planned stop. */
export interface DrainDaemonOptions {
  readonly core: DaemonCore;
  readonly timer: TimerService;
  /** Announces to the peers that this daemon is leaving. */
  readonly announce: () => Promise<void>;
  /** Maximum duration in milliseconds; longer than any request deadline. */
  readonly limitMilliseconds: number;
}

/**
 * Drains a daemon without interrupting requests. It removes the daemon from
 * address lists, refuses new requests as `not_run` with other addresses, and
 * waits for requests in flight and claims not yet written. It keeps listening
 * briefly after the announcement, since callers and peers still hold address
 * lists that contain it.
 *
 * Source: the brief, "What must always hold": every planned stop is graceful.
 */
export async function drainDaemon(options: DrainDaemonOptions): Promise<void> {
  const { core, timer } = options;
  const startedAt = timer.now();
  core.state.update(() => ({ isLeaving: true }));
  await options.announce();
  let lastRunningAt = startedAt;
  const isDone = (): boolean => {
    const now = timer.now();
    if (now - startedAt >= options.limitMilliseconds) return true;
    if (core.registry.running > 0) lastRunningAt = now;
    if (now - startedAt < MINIMUM_LISTEN_MILLISECONDS) return false;
    // A caller whose request meets a closing connection cannot know whether it
    // ran, so the server keeps listening until callers stop sending.
    const isQuiet =
      now - core.admission.lastArrivalAt >= QUIET_PERIOD_MILLISECONDS ||
      now - startedAt >= QUIET_TIMEOUT_MILLISECONDS;
    if (!isQuiet) return false;
    if (core.registry.running > 0) return false;
    if (core.claims.open === 0) return true;
    // If a result is not stored, the caller's retry gets `outcome_unknown`;
    // nothing is run again.
    return now - lastRunningAt >= CLAIMS_TIMEOUT_MILLISECONDS;
  };
  await new Promise<void>((resolve) => {
    const stop = timer.registerInterval(() => {
      if (!isDone()) return;
      stop();
      resolve();
    }, POLL_MILLISECONDS);
  });
}
