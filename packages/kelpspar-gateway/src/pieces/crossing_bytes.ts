import type { PieceTask } from "./piece_task.ts";

/**
 * Bytes that cross availability zones when a piece is made in `zone`: its
 * inputs from other zones, and its result if the other results of its stage are
 * in another zone, because the same readers read them all. Each piece of the
 * next stage reads all results, so sixteen small results cross once per reader.
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
  const siblingZone = chain.zoneOf(stage) ??
    (chain.isFinal(stage) ? chain.readerZone : undefined);
  const isApart = siblingZone !== undefined && siblingZone !== zone;
  const own = chain.stage(stage).resultBytes * chain.readCountOf(stage);
  return isApart ? bytes + own : bytes;
}
