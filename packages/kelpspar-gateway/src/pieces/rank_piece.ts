import type { PieceTask } from "./piece_task.ts";

/** Inputs of `rankPiece`; monotonic milliseconds. */
export interface PieceRankOptions {
  readonly objectiveAt: number;
  /** Minimum time of the rest of the chain and the request itself. */
  readonly remainingWork: number;
  /** Another piece of the same stage of its request is made or in flight. */
  readonly hasBegun: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly now: number;
}

/**
 * Slack equivalent of a whole priority step. A tenth of it, a step of a route's
 * priority, is about three stage calls: urgent work goes first unless other
 * work has that much less slack.
 */
const PRIORITY_STEP_MILLISECONDS = 10_000;
/** Ranks work that will be late behind all work that can be on time. */
const LATE_PENALTY_MILLISECONDS = 100_000;

/**
 * Advantage of a begun stage: its results hold room until its last piece is
 * made, so finishing it frees room soonest.
 */
const BEGUN_BONUS_MILLISECONDS = 10_000;

/**
 * Rank of a piece in its queue; the lowest goes first. In bursts in which not
 * everything can be on time, pieces with least slack go first, and work that
 * can't be on time any more doesn't delay other work.
 */
export function rankPiece(options: PieceRankOptions): number {
  const { objectiveAt, remainingWork, hasBegun, priority, now } = options;
  const latestStart = objectiveAt - remainingWork;
  const isLate = latestStart < now && !hasBegun;
  const penalty = isLate ? LATE_PENALTY_MILLISECONDS : 0;
  const bonus = hasBegun ? BEGUN_BONUS_MILLISECONDS : 0;
  return latestStart + penalty - bonus + priority * PRIORITY_STEP_MILLISECONDS;
}

/** Rank of a queued piece; `work` is the time of a call with one piece. */
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
