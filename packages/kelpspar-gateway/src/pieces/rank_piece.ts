import type { PieceTask } from "./piece_task.ts";

/** What the order of pieces is decided from; monotonic milliseconds. */
export interface PieceRankOptions {
  readonly objectiveAt: number;
  /** Least time that the rest of the chain and the request itself take. */
  readonly remainingWork: number;
  /** Another piece of the same stage of its request is made or under way. */
  readonly hasBegun: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly now: number;
}

/**
 * What a whole step of priority counts for in the queue, milliseconds. A tenth
 * of it, a step of a route's, is about three stage calls: urgent work goes
 * first unless the other is that much more pressed.
 */
const PRIORITY_STEP_MILLISECONDS = 10_000;
/** Puts what is late in any case behind all that can still be on time. */
const LATE_PENALTY_MILLISECONDS = 100_000;

/**
 * What a begun stage goes ahead by: its pieces that are made hold room until
 * its last one is, so that finishing it frees room soonest.
 */
const BEGUN_BONUS_MILLISECONDS = 10_000;

/**
 * The place of a piece in its queue; the lowest goes first. Answers bursts in
 * which not everything can be on time: least slack first, while work that has
 * no chance left doesn't make others late.
 */
export function rankPiece(options: PieceRankOptions): number {
  const { objectiveAt, remainingWork, hasBegun, priority, now } = options;
  const latestStart = objectiveAt - remainingWork;
  const isLate = latestStart < now && !hasBegun;
  const penalty = isLate ? LATE_PENALTY_MILLISECONDS : 0;
  const bonus = hasBegun ? BEGUN_BONUS_MILLISECONDS : 0;
  return latestStart + penalty - bonus + priority * PRIORITY_STEP_MILLISECONDS;
}

/** The rank of a waiting piece; `work` is the time of a call with one piece. */
export function rankTask(
  { chain, stage }: PieceTask,
  options: { readonly work: number; readonly now: number },
): number {
  const { tailMilliseconds, priority } = chain.request;
  return rankPiece({
    objectiveAt: chain.objectiveAt,
    remainingWork: options.work + tailMilliseconds,
    hasBegun: chain.hasBegun(stage),
    priority,
    now: options.now,
  });
}
