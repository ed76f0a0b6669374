import type { ChainOutcome, PieceResult } from "../pieces/chain_outcome.ts";
import type { ChainRequest } from "../pieces/chain_request.ts";

/** Gets the stages of requests done, wherever that is. */
export interface ChainRunner {
  /** Never throws; `gone` ends it when the caller is gone. */
  run(request: ChainRequest, gone: AbortSignal): Promise<ChainOutcome>;
  /** Frees results that a request has read or won't read. */
  release(results: readonly PieceResult[]): void;
}
