import type { ChainRun } from "./chain_run.ts";
import type { PieceTask } from "./piece_task.ts";
import { crossingBytes } from "./crossing_bytes.ts";

interface CachedStage {
  readonly hasInputs: boolean;
  readonly rank: number;
  readonly crossing: Map<string, number>;
}

/**
 * Caches state shared by all pieces of one stage of one request at one moment.
 * Computing it for each piece and endpoint, 400 pieces times 11 endpoints each
 * time, takes more of a busy coordinator's time than all its calls.
 */
export class StageCache {
  readonly #rank: (task: PieceTask) => number;
  readonly #stages = new Map<ChainRun, Map<number, CachedStage>>();

  constructor(rank: (task: PieceTask) => number) {
    this.#rank = rank;
  }

  hasInputs(task: PieceTask): boolean {
    return this.#of(task).hasInputs;
  }

  rank(task: PieceTask): number {
    return this.#of(task).rank;
  }

  /** See `crossingBytes`. */
  crossing(task: PieceTask, zone: string): number {
    const { crossing } = this.#of(task);
    const known = crossing.get(zone);
    if (known !== undefined) return known;
    const bytes = crossingBytes(task, zone);
    crossing.set(zone, bytes);
    return bytes;
  }

  #of(task: PieceTask): CachedStage {
    let ofChain = this.#stages.get(task.chain);
    if (ofChain === undefined) {
      ofChain = new Map();
      this.#stages.set(task.chain, ofChain);
    }
    const known = ofChain.get(task.stage);
    if (known !== undefined) return known;
    const cached = {
      hasInputs: task.chain.hasInputs(task.stage),
      rank: this.#rank(task),
      crossing: new Map<string, number>(),
    };
    ofChain.set(task.stage, cached);
    return cached;
  }
}
