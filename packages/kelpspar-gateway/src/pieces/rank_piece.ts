/** What the order of pieces is decided from; monotonic milliseconds. */
export interface PieceRankOptions {
  readonly objectiveAt: number;
  /** Least time that the rest of the chain and the request itself take. */
  readonly remainingWork: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly now: number;
}

/**
 * What a step of priority counts for in the queue, milliseconds: about half a
 * stage call, so that urgent work goes first among work that is about as
 * pressed, and yet nothing that would be late waits behind work that wouldn't.
 */
const PRIORITY_STEP_MILLISECONDS = 120;
/** Puts what is late in any case behind all that can still be on time. */
const LATE_PENALTY_MILLISECONDS = 100_000;

/**
 * The place of a piece in its queue; the lowest goes first. Answers bursts in
 * which not everything can be on time: least slack first, while work that has
 * no chance left doesn't make others late.
 */
export function rankPiece(options: PieceRankOptions): number {
  const { objectiveAt, remainingWork, priority, now } = options;
  const latestStart = objectiveAt - remainingWork;
  const penalty = latestStart < now ? LATE_PENALTY_MILLISECONDS : 0;
  return latestStart + penalty + priority * PRIORITY_STEP_MILLISECONDS;
}
