import type { ReleaseLoad } from "../load/release_load.ts";
import type { ChainReader } from "../placement/reader_place.ts";
import type { PieceResult } from "./chain_outcome.ts";

/** One stage of a request's chain; may have no pieces. */
export interface ChainStage {
  readonly service: string;
  readonly after: readonly number[];
  /** Approximate size of one result, bytes. */
  readonly resultBytes: number;
  /** 0 when the request skips this stage. */
  readonly pieces: number;
}

/** The stages that must be completed before a request can run. */
export interface ChainRequest {
  /** Id of the caller's attempt. */
  readonly attemptId: string;
  /** The request's route; its requests are accounted together. */
  readonly kind: string;
  /** Source of pieces without inputs. */
  readonly pieceKey: string;
  readonly stages: readonly ChainStage[];
  /**
   * Time until the request's deadline, or until its first event must come for
   * its answer to end before its daemon.
   */
  readonly remainingMilliseconds: number;
  /** Time until its answer is late; negative if it already is. */
  readonly objectiveMilliseconds: number;
  /** Set when a model endpoint reads the final results. */
  readonly reader?: ChainReader | undefined;
  /** Expected time of the request itself until its first event. */
  readonly tailMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /**
   * How long an earlier run of the chain may have lasted, at any daemon;
   * undefined if there was none.
   */
  readonly earlierRunMilliseconds?: number | undefined;
  /** Whether another daemon may name the coordinator instead of running it. */
  readonly mayRedirect?: boolean | undefined;
}

/** Notice that a request has read the results of its stages, or won't. */
export interface ChainRelease {
  /** Id of the caller's attempt. */
  readonly attemptId: string;
  /** Results to free; empty when its stages had no pieces. */
  readonly results: readonly PieceResult[];
  /** Load of the endpoint that ran it; daemons of older builds send none. */
  readonly load?: ReleaseLoad | undefined;
  /**
   * Key of the chain, as of `chainKeyOf`, if its request may read the results
   * once more; daemons of older builds send none and free them.
   */
  readonly retainFor?: string | undefined;
}
