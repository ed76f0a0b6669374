import type { ChainReader } from "../placement/reader_place.ts";
import type { PieceResult } from "./chain_outcome.ts";

/** One stage of a request as its chain is run; stages without pieces too. */
export interface ChainStage {
  readonly service: string;
  readonly after: readonly number[];
  /** About how large one result is, bytes. */
  readonly resultBytes: number;
  /** 0 when the request leaves this stage out. */
  readonly pieces: number;
}

/** The stages that must be done before a request can run. */
export interface ChainRequest {
  /** Id of the caller's attempt. */
  readonly attemptId: string;
  /** The request's route; requests of one are of one kind. */
  readonly kind: string;
  /** What pieces without inputs are made from. */
  readonly pieceKey: string;
  readonly stages: readonly ChainStage[];
  /** Time until the request's deadline. */
  readonly remainingMilliseconds: number;
  /** Time until its answer is late; below 0 when it is late already. */
  readonly objectiveMilliseconds: number;
  /** Set when a model endpoint reads the final results. */
  readonly reader?: ChainReader | undefined;
  /** What the request itself will take until its first event. */
  readonly tailMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
}

/** Word that a request has read the results of its stages, or won't. */
export interface ChainRelease {
  /** Id of the caller's attempt. */
  readonly attemptId: string;
  /** To be freed; none when its stages had no pieces. */
  readonly results: readonly PieceResult[];
}
