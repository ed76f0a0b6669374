/** How an endpoint of a stage service processes pieces. */
export interface PieceTerms {
  /** Maximum pieces per call. */
  readonly batch: number;
  /** Calls that an endpoint runs concurrently. */
  readonly slots: number;
  /** Fixed time per call, milliseconds. */
  readonly callMilliseconds: number;
  /** Approximate additional time per piece, milliseconds. */
  readonly pieceMilliseconds: number;
  /** Room for results that were not freed, bytes. */
  readonly resultBytes: number;
  /** How long a result that isn't freed is kept, milliseconds. */
  readonly keptMilliseconds: number;
}

/** A service whose endpoints run requests or pieces of stages. */
export interface ServiceDefinition {
  readonly name: string;
  /** Set on services that run stages. */
  readonly pieces: PieceTerms | undefined;
  /** Requests that a model endpoint batches; undefined for plain services. */
  readonly engineSlots: number | undefined;
  /** Memory of a model endpoint for prompts and output, tokens. */
  readonly engineTokens?: number | undefined;
  /**
   * Rate limit of a cold endpoint, for all daemons together; undefined when
   * there is no such limit.
   */
  readonly coldRequestsPerSecond?: number | undefined;
}
