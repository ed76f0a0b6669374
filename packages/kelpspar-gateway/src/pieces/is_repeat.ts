import type { PieceTask } from "./piece_task.ts";

/** Whether the piece may have reached an endpoint before. */
export function isRepeat({ chain, stage, piece }: PieceTask): boolean {
  return chain.wasSent(stage, piece);
}
