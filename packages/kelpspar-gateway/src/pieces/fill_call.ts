import type { PieceTask } from "./piece_task.ts";

/** What a call may carry. */
export interface FillCallOptions {
  /** Pieces at the most. */
  readonly batch: number;
  /** Room for results, bytes. */
  readonly room: number;
  /** Whether the endpoint holds no result at all. */
  readonly isEmpty: boolean;
}

/**
 * Takes the pieces of a call from a queue that stands in order of rank. A
 * piece that the room has no place for is passed over: smaller results behind
 * it still fit. A result larger than the whole room goes alone to an empty
 * endpoint, since nothing else could ever make it.
 */
export function fillCall(
  queue: readonly PieceTask[],
  options: FillCallOptions,
): readonly PieceTask[] {
  const taken: PieceTask[] = [];
  let room = options.room;
  for (const task of queue) {
    if (taken.length >= options.batch) break;
    const bytes = task.chain.stage(task.stage).resultBytes;
    const isAlone = options.isEmpty && taken.length === 0;
    if (bytes > room && !isAlone) continue;
    taken.push(task);
    room -= bytes;
  }
  return taken;
}
