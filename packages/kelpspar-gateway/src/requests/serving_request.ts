/** A part of a prompt; requests share all but the last. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A caller's request, decoded. */
export interface ServingRequest {
  /** Names this attempt of the caller; undefined when it sent none. */
  readonly attemptId: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /** Names and values in turn, without those of this connection only, the
   * caller's key and what only daemons may set. */
  readonly headers: readonly string[];
  readonly callerKey: string | undefined;
  /** How long the caller will wait; undefined when it doesn't say. */
  readonly deadlineMilliseconds: number | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Pieces by stage; 0 leaves a stage out. */
  readonly pieceCounts: readonly number[];
  readonly pieceKey: string;
  /** The last event that the caller has of a stream it resumes. */
  readonly lastEventId: string | undefined;
  readonly body: Uint8Array;
}
