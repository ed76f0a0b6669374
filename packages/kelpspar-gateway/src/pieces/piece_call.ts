import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";

/** A piece as it is sent to an endpoint. */
export interface PieceOrder {
  readonly attemptId: string;
  readonly stage: number;
  readonly piece: number;
  readonly remainingMilliseconds: number;
  /** Set for pieces without inputs. */
  readonly pieceKey: string | undefined;
  /** Handles of all results that the piece reads. */
  readonly inputs: readonly string[];
}

/** One call that carries pieces of any requests. */
export interface PieceCall {
  readonly endpoint: EndpointEntry;
  readonly pieces: readonly PieceOrder[];
  readonly signal: AbortSignal;
}

/** Why an endpoint didn't make a piece. */
export type PieceFailure =
  /** The piece's time was up at its turn. */
  | "late"
  /** An input doesn't exist any more. */
  | "input_gone"
  /** The endpoint had no room for the result. */
  | "no_room"
  | "error";

/** What an endpoint says of one piece. */
export type PieceAnswer =
  | { readonly type: "made"; readonly handle: string }
  | { readonly type: "failed"; readonly failure: PieceFailure };

/** What an endpoint says of a call. */
export type PieceCallAnswer =
  | { readonly type: "answered"; readonly pieces: readonly PieceAnswer[] }
  /** The endpoint is full; nothing was done. */
  | { readonly type: "full" }
  /** Another endpoint has the address now. */
  | { readonly type: "replaced" }
  /** The call failed; `isCertain` when nothing listens there. */
  | {
    readonly type: "failed";
    readonly isCertain: boolean;
    readonly reason: string;
  };

/** What an endpoint says of its room, as of some hundred milliseconds ago. */
export interface RoomReport {
  readonly freeBytes: number;
  /** Start of the life that says so, Unix milliseconds. */
  readonly bornAt: number;
}

/** Who holds a result. */
export interface ResultMaker {
  readonly id: string;
  /** `address:port`. */
  readonly address: string;
}

/** Calls to endpoints of stage services. */
export interface PieceClient {
  /** What is free for results; undefined when it couldn't be learned. */
  readRoom(endpoint: EndpointEntry): Promise<RoomReport | undefined>;
  /** Never throws. */
  runPieces(call: PieceCall): Promise<PieceCallAnswer>;
  /** Frees results at their maker; false when it failed, and they expire. */
  freeResults(
    maker: ResultMaker,
    handles: readonly string[],
  ): Promise<boolean>;
}
