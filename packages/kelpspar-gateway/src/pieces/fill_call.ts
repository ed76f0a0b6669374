import type { PieceTask } from "./piece_task.ts";

/** Limits of one call. */
export interface FillCallOptions {
  /** Maximum number of pieces. */
  readonly batch: number;
  /** Room for results, bytes. */
  readonly room: number;
  /** Whether the endpoint holds no results. */
  readonly isEmpty: boolean;
}

/**
 * Selects the pieces of a call from a queue in order of rank. Skips a piece
 * whose result doesn't fit, as smaller results behind it may. A result larger
 * than the whole room is sent alone to an empty endpoint, because no endpoint
 * could make it otherwise.
 */
export function fillCall(
  queue: readonly PieceTask[],
  options: FillCallOptions,
): readonly PieceTask[] {
  const selected: PieceTask[] = [];
  let room = options.room;
  for (const task of queue) {
    if (selected.length >= options.batch) break;
    const bytes = task.chain.stage(task.stage).resultBytes;
    const isAlone = options.isEmpty && selected.length === 0;
    if (bytes > room && !isAlone) continue;
    selected.push(task);
    room -= bytes;
  }
  return selected;
}
