/** How one endpoint of a stage service works through pieces. */
export interface PieceTerms {
  /** Pieces that one call takes at the most. */
  readonly batch: number;
  /** Calls that an endpoint works on at once. */
  readonly slots: number;
  /** What a call costs whatever it carries, milliseconds. */
  readonly callMilliseconds: number;
  /** What a piece adds, about, milliseconds. */
  readonly pieceMilliseconds: number;
  /** Room for results that were not freed yet, bytes. */
  readonly resultBytes: number;
  /** How long a result is kept that nobody frees, milliseconds. */
  readonly keptMilliseconds: number;
}

/** A service whose endpoints run requests or pieces of stages. */
export interface ServiceDefinition {
  readonly name: string;
  /** Set on services that run stages. */
  readonly pieces: PieceTerms | undefined;
  /** Requests that a model endpoint batches; undefined on plain services. */
  readonly engineSlots: number | undefined;
  /** Memory of a model endpoint for prompts and what it generates, tokens. */
  readonly engineTokens?: number | undefined;
  /**
   * What an endpoint bears while it is cold, from all daemons together;
   * undefined when it has no such limit.
   */
  readonly coldRequestsPerSecond?: number | undefined;
}
