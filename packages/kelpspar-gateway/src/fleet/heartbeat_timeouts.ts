/** After which silence a daemon is given up, milliseconds. */
export interface SilenceLimits {
  /** It gets no more callers. */
  readonly silent: number;
  /** It runs no more stages: sooner, since that costs only fuller calls. */
  readonly stalled: number;
}

const SILENT_MILLISECONDS = 1_700;
const STALLED_MILLISECONDS = 1_300;
/** Daemons that all hear one another directly. */
const MOST_DIRECT = 9;
/**
 * What each doubling of the fleet beyond that adds, milliseconds: word of a
 * heartbeat takes about one more round of digests.
 */
const DOUBLING_MILLISECONDS = 650;

/** Silence limits of a fleet of `daemons`. */
export function silenceLimits(daemons: number): SilenceLimits {
  const doublings = Math.max(0, Math.log2(daemons / MOST_DIRECT));
  const more = doublings * DOUBLING_MILLISECONDS;
  return {
    silent: SILENT_MILLISECONDS + more,
    stalled: STALLED_MILLISECONDS + more,
  };
}
