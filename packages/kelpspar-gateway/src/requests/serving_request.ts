/** A part of a prompt. Requests may share all parts except the last. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A decoded request of a caller. */
export interface ServingRequest {
  /** Id of this attempt of the caller; undefined if the caller sent none. */
  readonly attemptId: string | undefined;
  readonly method: string;
  readonly host: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  /**
   * Alternating names and values, without hop-by-hop headers, the caller's key
   * and headers that only daemons may set.
   */
  readonly headers: readonly string[];
  readonly callerKey: string | undefined;
  /** Time that the caller waits for the answer; undefined if not given. */
  readonly deadlineMilliseconds: number | undefined;
  readonly promptParts: readonly PromptPart[];
  /** Number of pieces by stage; 0 skips the stage. */
  readonly pieceCounts: readonly number[];
  readonly pieceKey: string;
  /** Id of the last event received of a stream that the caller resumes. */
  readonly lastEventId: string | undefined;
  /** Id of the attempt that brought the first event of that stream. */
  readonly resumedAttemptId?: string | undefined;
  readonly body: Uint8Array;
}
