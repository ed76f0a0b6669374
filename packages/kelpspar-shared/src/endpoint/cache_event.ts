/** A change of an engine's prefix cache; sequence numbers may have gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly type: "stored" | "evicted";
  readonly prefixHash: string;
}

/** The response body of `GET /v1/cache-events?after=N`. */
export interface CacheEventPage {
  readonly incarnation: string;
  readonly events: readonly CacheEvent[];
  readonly lastSequence: number;
}

/** The response body of `GET /v1/cache-snapshot`. */
export interface CacheSnapshot {
  readonly incarnation: string;
  readonly prefixHashes: readonly string[];
  readonly lastSequence: number;
}
