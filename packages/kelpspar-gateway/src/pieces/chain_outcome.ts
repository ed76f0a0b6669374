import type { ReaderPlace } from "../placement/reader_place.ts";

/** What became of a chain of stages. */
export type ChainOutcome =
  | {
    readonly type: "done";
    /** Results that the request itself reads, in order of stage and piece. */
    readonly results: readonly PieceResult[];
    /** Where to read them; undefined when any endpoint is as good. */
    readonly place?: ReaderPlace | undefined;
  }
  | {
    /** Nothing will be done; the caller may come back. */
    readonly type: "refused";
    readonly reason: ChainRefusal;
    readonly retryAfterMilliseconds: number;
  };

/** Why a chain wasn't run or not to its end. */
export type ChainRefusal =
  | "no_endpoint"
  | "overloaded"
  /** The endpoints that would read it have got what they take for now. */
  | "over_limit"
  | "too_late"
  | "failing";

/** Where the result of a piece lies. */
export interface PieceResult {
  /** Names the result to the endpoints that read it. */
  readonly handle: string;
  readonly makerId: string;
  readonly makerAddress: string;
  readonly makerZone: string;
}
