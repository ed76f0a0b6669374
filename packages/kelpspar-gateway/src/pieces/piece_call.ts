import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";

/** A piece as sent to an endpoint. */
export interface PieceRequest {
  readonly attemptId: string;
  readonly stage: number;
  readonly piece: number;
  readonly remainingMilliseconds: number;
  /** Set for pieces without inputs. */
  readonly pieceKey: string | undefined;
  /** Handles of all results that the piece reads. */
  readonly inputs: readonly string[];
}

/** One call with pieces of any requests. */
export interface PieceCall {
  readonly endpoint: EndpointEntry;
  readonly pieces: readonly PieceRequest[];
  readonly signal: AbortSignal;
  /** Called when the connection is open, so that the call is being sent. */
  readonly onConnected: () => void;
}

/** Why an endpoint didn't make a piece. */
export type PieceFailure =
  /** The piece's deadline passed before its turn. */
  | "late"
  /** An input no longer exists. */
  | "input_gone"
  /** The endpoint had no room for the result. */
  | "no_room"
  | "error";

/** An endpoint's answer for one piece. */
export type PieceAnswer =
  | { readonly type: "made"; readonly handle: string }
  | { readonly type: "failed"; readonly failure: PieceFailure };

/** An endpoint's answer to a call. */
export type PieceCallAnswer =
  | { readonly type: "answered"; readonly pieces: readonly PieceAnswer[] }
  /** The endpoint is full; no piece was run. */
  | { readonly type: "full" }
  /** Another endpoint has this address now. */
  | { readonly type: "replaced" }
  | {
    readonly type: "failed";
    /** True if no process listens there. */
    readonly isCertain: boolean;
    /** False if nothing left this daemon. */
    readonly isSent: boolean;
    readonly reason: string;
  };

/** An endpoint's free room and queue as of some hundred milliseconds ago. */
export interface RoomReport {
  readonly freeBytes: number;
  /** Calls of all daemons that wait until it can run them. */
  readonly waitingCalls: number;
  /** Start of the reporting process, Unix milliseconds. */
  readonly bornAt: number;
}

/** The endpoint that holds a result. */
export interface ResultMaker {
  readonly id: string;
  /** `address:port`. */
  readonly address: string;
}

/** Client for endpoints of stage services. */
export interface PieceClient {
  /** Reads the free room for results; undefined on failure. */
  readRoom(endpoint: EndpointEntry): Promise<RoomReport | undefined>;
  /** Never throws. */
  runPieces(call: PieceCall): Promise<PieceCallAnswer>;
  /** Frees results at their maker; false on failure, and they expire. */
  freeResults(
    maker: ResultMaker,
    handles: readonly string[],
  ): Promise<boolean>;
}
