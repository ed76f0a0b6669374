/** A refusal or failure of the daemon's own. */
export interface OwnAnswer {
  readonly status: number;
  /** When the caller may come back, milliseconds; with 429 and 503. */
  readonly retryAfterMilliseconds?: number;
  /** Says what happened; no text of callers. */
  readonly message: string;
}

/** Where the answer to one request goes. Only one of the first three once. */
export interface RequestReply {
  /** Aborted when the caller is gone. */
  readonly gone: AbortSignal;
  refuse(answer: OwnAnswer): void;
  /** A whole answer of an endpoint. */
  answer(
    status: number,
    headers: readonly string[],
    body: Uint8Array,
  ): void;
  /** Begins an answer whose body follows. */
  begin(status: number, headers: readonly string[]): void;
  /** Resolves once more may be written. */
  write(chunk: Uint8Array): Promise<void>;
  end(): void;
  /** Breaks the answer off so that it can't look complete. */
  breakOff(): void;
}
