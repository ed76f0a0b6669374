/** Time without a heartbeat after which a daemon is given up, milliseconds. */
export interface HeartbeatTimeouts {
  /** The daemon is no longer offered to callers. */
  readonly silent: number;
  /**
   * The daemon no longer runs stages. Shorter than `silent`, because a wrong
   * verdict only makes the calls of the remaining daemons larger.
   */
  readonly stalled: number;
}

const SILENT_TIMEOUT_MILLISECONDS = 1_700;
const STALLED_TIMEOUT_MILLISECONDS = 1_300;
/** Largest fleet in which all daemons exchange digests directly. */
const FULL_MESH_DAEMONS = 9;
/**
 * Added for each doubling of the fleet beyond `FULL_MESH_DAEMONS`, because a
 * heartbeat takes about one extra round of digests to reach all daemons.
 */
const MILLISECONDS_PER_DOUBLING = 650;

/** Computes the heartbeat timeouts for a fleet of `daemons` daemons. */
export function heartbeatTimeouts(daemons: number): HeartbeatTimeouts {
  const doublings = Math.max(0, Math.log2(daemons / FULL_MESH_DAEMONS));
  const extra = doublings * MILLISECONDS_PER_DOUBLING;
  return {
    silent: SILENT_TIMEOUT_MILLISECONDS + extra,
    stalled: STALLED_TIMEOUT_MILLISECONDS + extra,
  };
}
