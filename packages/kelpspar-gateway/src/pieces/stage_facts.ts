import type { ChainRun } from "./chain_run.ts";
import type { PieceTask } from "./piece_task.ts";
import { crossingBytes } from "./crossing_bytes.ts";

interface Facts {
  readonly hasInputs: boolean;
  readonly rank: number;
  readonly crossing: Map<string, number>;
}

/**
 * What is the same for all pieces of one stage of one request at one moment.
 * Asked for each piece and endpoint anew, it took more time of a busy
 * coordinator than all its calls: 400 pieces times 11 endpoints each time.
 */
export class StageFacts {
  readonly #rank: (task: PieceTask) => number;
  readonly #facts = new Map<ChainRun, Map<number, Facts>>();

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

  #of(task: PieceTask): Facts {
    let ofChain = this.#facts.get(task.chain);
    if (ofChain === undefined) {
      ofChain = new Map();
      this.#facts.set(task.chain, ofChain);
    }
    const known = ofChain.get(task.stage);
    if (known !== undefined) return known;
    const facts = {
      hasInputs: task.chain.hasInputs(task.stage),
      rank: this.#rank(task),
      crossing: new Map<string, number>(),
    };
    ofChain.set(task.stage, facts);
    return facts;
  }
}
