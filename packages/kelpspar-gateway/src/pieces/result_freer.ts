import type { TimerService } from "kelpspar-shared";
import type { PieceResult } from "./chain_outcome.ts";
import type { PieceClient } from "./piece_call.ts";

/**
 * How long results wait so that those of one maker share a call, milliseconds.
 * Far below a stage call, so that the room is there when the next one starts.
 */
const GATHER_MILLISECONDS = 4;

/** Frees results at their makers, those of one maker together. */
export class ResultFreer {
  readonly #client: PieceClient;
  readonly #timer: TimerService;
  readonly #pending = new Map<string, string[]>();

  constructor(
    options: { readonly client: PieceClient; readonly timer: TimerService },
  ) {
    this.#client = options.client;
    this.#timer = options.timer;
  }

  free(results: readonly PieceResult[]): void {
    if (results.length === 0) return;
    if (this.#pending.size === 0) {
      this.#timer.registerTimeout(() => this.#flush(), GATHER_MILLISECONDS);
    }
    for (const { makerAddress, handle } of results) {
      const handles = this.#pending.get(makerAddress);
      if (handles === undefined) this.#pending.set(makerAddress, [handle]);
      else handles.push(handle);
    }
  }

  #flush(): void {
    for (const [address, handles] of this.#pending) {
      this.#client.freeResults(address, handles);
    }
    this.#pending.clear();
  }
}
