/**
 * Cost of all slots in use, in nominal call times: prefers emptier endpoints
 * among equally fast ones, where other daemons' next requests wait less.
 */
const BUSY_SLOT_COST = 0.4;

/**
 * Sharpness of the step from a free slot to a wait. The number of requests is an
 * estimate, so a wait is possible a few requests before the slots are full.
 */
const WAIT_SHARPNESS = 3;

/** Inputs of `expectedCompletion`. */
export interface ExpectedCompletionOptions {
  /** Expected ratio of the service time to the nominal one. */
  readonly slowness: number;
  /** Requests that are expected there, running and waiting. */
  readonly queue: number;
  readonly slots: number;
}

/**
 * Expected time until a request that is sent now is completed, in nominal call
 * times: its own time and the wait until a slot is free.
 */
export function expectedCompletion(options: ExpectedCompletionOptions): number {
  const { slowness, queue, slots } = options;
  const excess = (queue + 1) / slots - 1;
  const uncertain = Math.log1p(Math.exp(-Math.abs(excess) * WAIT_SHARPNESS)) /
    WAIT_SHARPNESS;
  const wait = Math.max(0, excess) + uncertain;
  return slowness * (1 + wait) + BUSY_SLOT_COST * queue / slots;
}
