import type { ChainOutcome } from "../pieces/chain_outcome.ts";
import type { ChainRelease, ChainRequest } from "../pieces/chain_request.ts";

/** Gets the stages of requests done, wherever that is. */
export interface ChainRunner {
  /** Never throws; `gone` ends it when the caller is gone. */
  run(request: ChainRequest, gone: AbortSignal): Promise<ChainOutcome>;
  /** Says that a request was read or won't be, and frees its results. */
  release(release: ChainRelease): void;
}
