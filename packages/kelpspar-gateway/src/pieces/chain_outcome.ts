import type { ReaderPlace } from "../placement/reader_place.ts";

/** Result of running a chain of stages. */
export type ChainOutcome =
  | {
    readonly type: "done";
    /** Results that the request itself reads, in order of stage and piece. */
    readonly results: readonly PieceResult[];
    /** Endpoint to read them at; undefined when any will do. */
    readonly place?: ReaderPlace | undefined;
  }
  | {
    /** The chain won't be completed; the caller may retry. */
    readonly type: "refused";
    readonly reason: ChainRefusal;
    readonly retryAfterMilliseconds: number;
  };

/** Why a chain wasn't run or completed. */
export type ChainRefusal =
  | "no_endpoint"
  | "overloaded"
  /** The endpoints that could read it are at their limit. */
  | "over_limit"
  | "too_late"
  | "failing"
  /** Pieces must be sent again and the fleet's retry budget is spent. */
  | "retry_budget"
  /** The coordinator reaches no endpoint. */
  | "isolated";

/** Location of a piece's result. */
export interface PieceResult {
  /** Identifies the result to the endpoints that read it. */
  readonly handle: string;
  readonly makerId: string;
  readonly makerAddress: string;
  readonly makerZone: string;
}
