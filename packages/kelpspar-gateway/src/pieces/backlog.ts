import type { OpenWork } from "./open_work.ts";
import type { StageScheduler } from "./stage_scheduler.ts";

/**
 * Weight of a less urgent piece in the backlog of more urgent work: it is
 * scheduled later unless its stage has begun or its slack is much smaller.
 * If it counted in full, urgent requests would be refused in a burst while
 * those that may wait are on time.
 */
const LESS_URGENT_SHARE = 0.3;

/** Inputs of `backlogOf`. */
export interface BacklogOptions {
  /** Undefined while the service has had no pieces. */
  readonly scheduler: Pick<StageScheduler, "forecast"> | undefined;
  readonly work: OpenWork;
  /** Priority of the request to admit. */
  readonly priority: number;
}

/** Lower bound of the rate, so that a stalled service has a finite backlog. */
const MIN_PIECES_PER_MILLISECOND = 1e-6;

/** Time until all admitted pieces of a service are made, milliseconds. */
export function backlogOf(service: string, options: BacklogOptions): number {
  const { scheduler, work, priority } = options;
  if (scheduler === undefined) return 0;
  const pieces = work.sum(
    service,
    (other) => other <= priority ? 1 : LESS_URGENT_SHARE,
  );
  const { rate, slotWait } = scheduler.forecast();
  return Math.max(
    slotWait,
    pieces / Math.max(rate, MIN_PIECES_PER_MILLISECOND),
  );
}
