import type { PieceTask } from "./piece_task.ts";

/**
 * Returns the queued pieces that may start, given the total room for results of
 * all endpoints, bytes.
 *
 * Prevents a deadlock over room: the results of a request's stage are freed
 * together, once the last one is made and read. Several requests with some of
 * their pieces made can fill the room and then all wait for room until the
 * results expire; their chains take as long as results are kept. Therefore a
 * stage begins only when there is room for all of its pieces besides what begun
 * stages still need.
 */
export function startablePieces(
  queue: readonly PieceTask[],
  room: number,
): readonly PieceTask[] {
  const isBegun = (task: PieceTask): boolean => task.chain.hasBegun(task.stage);
  let left = room;
  for (const task of queue) if (isBegun(task)) left -= bytesOf(task);
  const decisions = new Map<object, Map<number, boolean>>();
  return queue.filter((task) => {
    if (isBegun(task)) return true;
    const ofChain = decisions.get(task.chain) ?? new Map<number, boolean>();
    decisions.set(task.chain, ofChain);
    const known = ofChain.get(task.stage);
    if (known !== undefined) return known;
    const { pieces } = task.chain.stage(task.stage);
    const need = pieces * bytesOf(task);
    // A stage larger than the total room starts only when no begun stage needs
    // any; more room will never be available.
    const mayStart = need <= left || left >= room;
    if (mayStart) left -= need;
    ofChain.set(task.stage, mayStart);
    return mayStart;
  });
}

function bytesOf(task: PieceTask): number {
  return task.chain.stage(task.stage).resultBytes;
}
