import type { PieceTask } from "./piece_task.ts";

/**
 * Bytes that cross availability zones when a piece is made in `zone`: its
 * inputs that lie elsewhere, and its result if the request reads it elsewhere.
 */
export function crossingBytes(task: PieceTask, zone: string): number {
  const { chain, stage } = task;
  let bytes = 0;
  for (const input of chain.inputsOf(stage)) {
    const { resultBytes } = chain.stage(input);
    for (const result of chain.resultsOf(input)) {
      if (result.makerZone !== zone) bytes += resultBytes;
    }
  }
  const { readerZone } = chain.request;
  const isReadElsewhere = chain.isFinal(stage) && readerZone !== undefined &&
    readerZone !== zone;
  return isReadElsewhere ? bytes + chain.stage(stage).resultBytes : bytes;
}
