/** A refusal or failure that the daemon itself answers. */
export interface DaemonAnswer {
  readonly status: number;
  /** Time after which the caller may retry; with 429 and 503. */
  readonly retryAfterMilliseconds?: number;
  /** Reason for the caller; contains no text from callers. */
  readonly message: string;
}

/** How far a request got that is refused. */
export interface RefusedProgress {
  /** How long ago its stages were begun; undefined if they weren't. */
  readonly stagesMilliseconds?: number | undefined;
  /** Whether it reached an endpoint, which may have rejected it. */
  readonly isDelivered?: boolean | undefined;
}

/**
 * Writes the answer to one request. Only one of `refuse`, `answer` and `begin`
 * may be called, and only once.
 */
export interface RequestReply {
  /** Aborted when the caller disconnects. */
  readonly disconnectSignal: AbortSignal;
  /**
   * Settles when the caller's connection has taken the whole answer (true), or
   * was closed before that (false).
   */
  readonly sent: Promise<boolean>;
  /**
   * Sends the daemon's own answer. `progress` tells a daemon that relayed the
   * request how far it got here.
   */
  refuse(answer: DaemonAnswer, progress?: RefusedProgress): void;
  /** Sends a whole answer of an endpoint. */
  answer(
    status: number,
    headers: readonly string[],
    body: Uint8Array,
  ): void;
  /** Begins an answer whose body follows. */
  begin(status: number, headers: readonly string[]): void;
  /** Resolves when more may be written (backpressure). */
  write(chunk: Uint8Array): Promise<void>;
  end(): void;
  /** Aborts the answer in a way that the caller can't take it for complete. */
  abort(): void;
}
