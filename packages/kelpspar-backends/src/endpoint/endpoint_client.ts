import type {
  CacheEventPage,
  CacheSnapshot,
  EndpointAddress,
  EngineOrder,
  LoadReport,
  StageCall,
  StageRecord,
} from "kelpspar-shared";

/** How a call of a stage is made. */
export interface StageCallOptions {
  /** Aborting it destroys the connection that carries the call. */
  readonly signal: AbortSignal;
  /**
   * True for a call that travels on a connection of its own: one that must not
   * be repeated, since a pooled connection may have gone silent or be closing,
   * which would leave its outcome unknown; and one that resumes a stream whose
   * connection went silent.
   */
  readonly newConnection: boolean;
  /**
   * False for a call whose records come all at once; they are then read
   * together, which costs less. Default true.
   */
  readonly isStream?: boolean;
}

/**
 * Calls to endpoints. Failures are `endpoint_refused` (proved: nothing was
 * received) and `endpoint_failed` (nothing is proved). A failure that the
 * endpoint states itself is yielded as a record, not thrown.
 */
export interface EndpointClient {
  call(
    endpoint: EndpointAddress,
    call: StageCall,
    options: StageCallOptions,
  ): AsyncIterable<StageRecord>;
  /** Stops an attempt whose result is no longer wanted. */
  cancel(endpoint: EndpointAddress, attemptId: string): Promise<void>;
  /**
   * Makes later calls use new connections. Called when one went silent, since
   * the others to that endpoint may be silent too; calls in flight go on.
   */
  renewConnections(endpoint: EndpointAddress): void;
  /** Asks for an endpoint's load over a new connection. */
  load(endpoint: EndpointAddress): Promise<LoadReport>;
  cacheEvents(
    endpoint: EndpointAddress,
    afterSequence: number,
  ): Promise<CacheEventPage>;
  cacheSnapshot(endpoint: EndpointAddress): Promise<CacheSnapshot>;
  /** Throws `stale_fencing_number` when the endpoint checks and refuses. */
  order(endpoint: EndpointAddress, order: EngineOrder): Promise<void>;
  /** Copies the KV cache of a prefix from one engine to another. */
  copyCache(
    prefixHash: string,
    options: { readonly from: EndpointAddress; readonly to: EndpointAddress },
  ): Promise<void>;
}
