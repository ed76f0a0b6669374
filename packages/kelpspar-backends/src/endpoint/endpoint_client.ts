import type {
  CacheEventPage,
  CacheSnapshot,
  EndpointAddress,
  EngineOrder,
  LoadReport,
  StageCall,
  StageRecord,
} from "kelpspar-shared";

/** Options of a stage call. */
export interface StageCallOptions {
  /** Aborting it destroys the call's connection. */
  readonly signal: AbortSignal;
  /**
   * True to send the call over a new connection. Used for calls that must not
   * be repeated, since a pooled connection may be silent or closing, which
   * would leave the outcome unknown, and for calls that resume a stream whose
   * connection went silent.
   */
  readonly newConnection: boolean;
  /**
   * False for a call whose records arrive all at once; they are then read
   * together, which is cheaper. Default true.
   */
  readonly isStream?: boolean;
}

/**
 * Calls endpoints. Throws `endpoint_refused` if the endpoint provably received
 * nothing, otherwise `endpoint_failed`. A failure that the endpoint reports is
 * yielded as a record, not thrown.
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
   * Makes later calls use new connections. Called when a connection went
   * silent, since the others to that endpoint may be silent too; calls in
   * flight continue.
   */
  renewConnections(endpoint: EndpointAddress): void;
  /** Requests an endpoint's load report over a new connection. */
  load(endpoint: EndpointAddress): Promise<LoadReport>;
  cacheEvents(
    endpoint: EndpointAddress,
    afterSequence: number,
  ): Promise<CacheEventPage>;
  cacheSnapshot(endpoint: EndpointAddress): Promise<CacheSnapshot>;
  /**
   * Throws `stale_fencing_number` if the endpoint refuses the order's number.
   */
  order(endpoint: EndpointAddress, order: EngineOrder): Promise<void>;
  /** Copies the KV cache of a prefix from one engine to another. */
  copyCache(
    prefixHash: string,
    options: { readonly from: EndpointAddress; readonly to: EndpointAddress },
  ): Promise<void>;
}
