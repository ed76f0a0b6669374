import type { ChainRun } from "./chain_run.ts";
import type { PieceTask } from "./piece_task.ts";
import { StageCache } from "./stage_cache.ts";
import { startablePieces } from "./startable_pieces.ts";

/** A queued piece expires this long before its chain's deadline. */
const DEADLINE_MARGIN_MILLISECONDS = 50;

/** The queued pieces of one stage scheduler. */
export class PieceQueue {
  #tasks: PieceTask[] = [];
  #stageCache = new StageCache(() => 0);

  get length(): number {
    return this.#tasks.length;
  }

  /** Cached state of stages as of the last `pruneAndSort`. */
  get stageCache(): StageCache {
    return this.#stageCache;
  }

  add(tasks: readonly PieceTask[]): void {
    for (const task of tasks) {
      task.isQueued = true;
      this.#tasks.push(task);
    }
  }

  /** Removes pieces that are sent. */
  remove(tasks: readonly PieceTask[]): void {
    const removed = new Set(tasks);
    this.#tasks = this.#tasks.filter((task) => !removed.has(task));
    for (const task of tasks) task.isQueued = false;
  }

  removeChain(chain: ChainRun): void {
    this.#tasks = this.#tasks.filter((task) => task.chain !== chain);
  }

  /** Whether pieces of a chain are queued. */
  hasChain(chain: ChainRun): boolean {
    return this.#tasks.some((task) => task.chain === chain);
  }

  /** Number of queued pieces by the kind of their request. */
  countByKind(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { chain } of this.#tasks) {
      const { kind } = chain.request;
      counts.set(kind, (counts.get(kind) ?? 0) + 1);
    }
    return counts;
  }

  /** Open chains whose queued pieces can no longer meet their deadline. */
  expired(now: number): ReadonlySet<ChainRun> {
    const expired = new Set<ChainRun>();
    for (const { chain } of this.#tasks) {
      const due = chain.deadlineAt - DEADLINE_MARGIN_MILLISECONDS;
      if (chain.isOpen && due <= now) expired.add(chain);
    }
    return expired;
  }

  /** Drops pieces that are no longer needed and sorts the rest by rank. */
  pruneAndSort(rank: (task: PieceTask) => number): void {
    const stageCache = new StageCache(rank);
    this.#stageCache = stageCache;
    this.#tasks = this.#tasks.filter((task) => {
      // A stage whose inputs were lost is queued again once they are made; a
      // stale piece would be sent with only some of its inputs.
      const isNeeded = task.chain.isOpen &&
        !task.chain.isPieceDone(task.stage, task.piece) &&
        stageCache.hasInputs(task);
      if (!isNeeded) task.isQueued = false;
      return isNeeded;
    });
    this.#tasks.sort((left, right) =>
      stageCache.rank(left) - stageCache.rank(right)
    );
  }

  /**
   * Pieces, by rank, that can start without a deadlock over room; at most
   * `repeats` of them were sent before.
   */
  startable(room: number, repeats: number): readonly PieceTask[] {
    const startable = startablePieces(this.#tasks, room);
    const again = startable.filter((task) => task.isRepeat);
    if (again.length <= repeats) return startable;
    const allowed = new Set(byProgress(again).slice(0, repeats));
    return startable.filter((task) => !task.isRepeat || allowed.has(task));
  }

  /** Pieces that were sent before, without the `count` that go first. */
  repeatsBeyond(count: number): readonly PieceTask[] {
    const again = this.#tasks.filter((task) => task.isRepeat);
    return again.length <= count ? [] : byProgress(again).slice(count);
  }
}

/**
 * Puts pieces first whose chains would waste the most results. Those of one
 * chain stay together, since a part of them is of no use.
 */
function byProgress(tasks: readonly PieceTask[]): readonly PieceTask[] {
  return tasks.toSorted((left, right) =>
    right.chain.madeCount - left.chain.madeCount ||
    left.chain.deadlineAt - right.chain.deadlineAt
  );
}
