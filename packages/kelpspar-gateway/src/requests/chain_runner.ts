import type { ChainOutcome } from "../pieces/chain_outcome.ts";
import type { ChainRelease, ChainRequest } from "../pieces/chain_request.ts";

/** Runs the stages of requests, at this daemon or at another one. */
export interface ChainRunner {
  /** Never throws. `signal` aborts the run, e.g. when the caller disconnects. */
  run(request: ChainRequest, signal: AbortSignal): Promise<ChainOutcome>;
  /** Frees results and place of a request once they are read or not needed. */
  release(release: ChainRelease): void;
}
