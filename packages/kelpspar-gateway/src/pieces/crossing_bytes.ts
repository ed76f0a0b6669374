import type { PieceTask } from "./piece_task.ts";

/**
 * Bytes that cross availability zones when a piece is made in `zone`: its
 * inputs that lie elsewhere, and its result if the others of its stage are made
 * elsewhere, since whoever reads them reads it too. Each piece of the next
 * stage reads all of them, so that sixteen small results cross as many times
 * as there are readers.
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
  const others = chain.zoneOf(stage) ??
    (chain.isFinal(stage) ? chain.readerZone : undefined);
  const isApart = others !== undefined && others !== zone;
  const own = chain.stage(stage).resultBytes * chain.readsOf(stage);
  return isApart ? bytes + own : bytes;
}
