import type { PieceRequest } from "./piece_call.ts";
import type { PieceTask } from "./piece_task.ts";

/** Creates the request for a piece sent now; its inputs must be made. */
export function toPieceRequest(task: PieceTask, now: number): PieceRequest {
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
