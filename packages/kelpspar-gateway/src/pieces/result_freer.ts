import type { TimerService } from "kelpspar-shared";
import type { PieceResult } from "./chain_outcome.ts";
import type { PieceClient } from "./piece_call.ts";

/**
 * How long results are collected so that those of one maker share a call. Far
 * shorter than a stage call, so that the room is free when the next one starts.
 */
const BATCH_DELAY_MILLISECONDS = 4;

/** Dependencies of `ResultFreer`. */
export interface ResultFreerOptions {
  readonly client: PieceClient;
  readonly timer: TimerService;
  /** Called only after the maker has freed the results. */
  readonly onFreed: (results: readonly PieceResult[]) => void;
  /** False while this daemon reaches no maker. */
  readonly mayFree: () => boolean;
  /** Called when the maker wasn't reached. */
  readonly onFailed: (results: readonly PieceResult[]) => void;
}

/** Frees results at their makers, batched by maker. */
export class ResultFreer {
  readonly #options: ResultFreerOptions;
  readonly #pending = new Map<string, PieceResult[]>();

  constructor(options: ResultFreerOptions) {
    this.#options = options;
  }

  free(results: readonly PieceResult[]): void {
    if (results.length === 0) return;
    if (this.#pending.size === 0) {
      this.#options.timer.registerTimeout(
        () => this.#flush(),
        BATCH_DELAY_MILLISECONDS,
      );
    }
    for (const result of results) {
      const pending = this.#pending.get(result.makerId);
      if (pending === undefined) this.#pending.set(result.makerId, [result]);
      else pending.push(result);
    }
  }

  #flush(): void {
    for (const [id, results] of this.#pending) {
      void this.#freeAt(id, results);
    }
    this.#pending.clear();
  }

  async #freeAt(
    id: string,
    results: readonly PieceResult[],
  ): Promise<void> {
    const { client, onFreed, onFailed, mayFree } = this.#options;
    const handles = results.map(({ handle }) => handle);
    const maker = { id, address: results[0]?.makerAddress ?? "" };
    const isFreed = mayFree() && await client.freeResults(maker, handles);
    (isFreed ? onFreed : onFailed)(results);
  }
}
