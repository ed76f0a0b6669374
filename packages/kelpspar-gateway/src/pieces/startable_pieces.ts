import type { PieceTask } from "./piece_task.ts";

/**
 * Which pieces of a queue may start, given the room for results of all
 * endpoints together, bytes.
 *
 * What goes wrong: a request's pieces are freed together, once the last one is
 * made and read. Several requests that have some of theirs made can fill the
 * room and then all wait for room, until the results expire; one sees chains
 * that take as long as results are kept. So a stage begins only when there is
 * room for all of its pieces beside what begun ones still need.
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
    // One that is larger than all room may only start when nothing else holds
    // any; it can't wait for more than there is.
    const mayStart = need <= left || left >= room;
    if (mayStart) left -= need;
    ofChain.set(task.stage, mayStart);
    return mayStart;
  });
}

function bytesOf(task: PieceTask): number {
  return task.chain.stage(task.stage).resultBytes;
}
