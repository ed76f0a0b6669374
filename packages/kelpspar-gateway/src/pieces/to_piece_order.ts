import type { PieceOrder } from "./piece_call.ts";
import type { PieceTask } from "./piece_task.ts";

/** A piece as it is sent now; its inputs must be there. */
export function toPieceOrder(task: PieceTask, now: number): PieceOrder {
  const { chain, stage, piece } = task;
  const inputs = chain.inputResults(stage).map(({ handle }) => handle);
  return {
    attemptId: chain.request.attemptId,
    stage,
    piece,
    remainingMilliseconds: Math.floor(chain.deadlineAt - now),
    pieceKey: inputs.length === 0 ? chain.request.pieceKey : undefined,
    inputs,
  };
}
