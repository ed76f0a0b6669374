import type { ChainRun } from "./chain_run.ts";
import type { PieceTask } from "./piece_task.ts";
import { StageFacts } from "./stage_facts.ts";
import { startablePieces } from "./startable_pieces.ts";

/** A piece is due this long before its chain's deadline, milliseconds. */
const DEADLINE_MARGIN_MILLISECONDS = 50;

/** The pieces that wait at a desk. */
export class PieceQueue {
  #tasks: PieceTask[] = [];
  #facts = new StageFacts(() => 0);

  get length(): number {
    return this.#tasks.length;
  }

  /** As of the last `tidy`. */
  get facts(): StageFacts {
    return this.#facts;
  }

  add(tasks: readonly PieceTask[]): void {
    for (const task of tasks) {
      task.isQueued = true;
      this.#tasks.push(task);
    }
  }

  /** Takes pieces out that are sent. */
  take(tasks: readonly PieceTask[]): void {
    const taken = new Set(tasks);
    this.#tasks = this.#tasks.filter((task) => !taken.has(task));
    for (const task of tasks) task.isQueued = false;
  }

  dropChain(chain: ChainRun): void {
    this.#tasks = this.#tasks.filter((task) => task.chain !== chain);
  }

  /** Whether pieces of a chain wait. */
  hasChain(chain: ChainRun): boolean {
    return this.#tasks.some((task) => task.chain === chain);
  }

  /** Open chains whose pieces would come too late now. */
  expired(now: number): ReadonlySet<ChainRun> {
    const expired = new Set<ChainRun>();
    for (const { chain } of this.#tasks) {
      const due = chain.deadlineAt - DEADLINE_MARGIN_MILLISECONDS;
      if (chain.isOpen && due <= now) expired.add(chain);
    }
    return expired;
  }

  /** Drops what nobody needs and puts the rest in order of rank. */
  tidy(rank: (task: PieceTask) => number): void {
    const facts = new StageFacts(rank);
    this.#facts = facts;
    this.#tasks = this.#tasks.filter((task) => {
      // A stage whose inputs were lost is queued anew once they are there; a
      // piece left over from before would be sent with some inputs only.
      const isNeeded = task.chain.isOpen &&
        !task.chain.isMade(task.stage, task.piece) && facts.hasInputs(task);
      if (!isNeeded) task.isQueued = false;
      return isNeeded;
    });
    this.#tasks.sort((left, right) => facts.rank(left) - facts.rank(right));
  }

  /** Pieces in order of rank that can't block others by the room they take. */
  startable(room: number): readonly PieceTask[] {
    return startablePieces(this.#tasks, room);
  }
}
