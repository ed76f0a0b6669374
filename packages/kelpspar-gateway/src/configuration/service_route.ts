/** Determines what may be retried; set by the route, never by a name. */
export type RequestKind = "idempotent" | "non_idempotent" | "stream";

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets' weights. */
  readonly weight: number;
}

/** Work that runs in pieces before the request itself can run. */
export interface RouteStage {
  readonly service: string;
  /** Indexes of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** Approximate size of one result, bytes. */
  readonly resultBytes: number;
}

/** Where requests of a host and path prefix are routed, and their limits. */
export interface ServiceRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Longest time that a caller waits. */
  readonly timeoutMilliseconds: number;
  /** Latency objective of an answer, or of a stream's first event. */
  readonly objectiveMilliseconds: number;
  /** Maximum number of endpoints that a request may run on. */
  readonly attempts: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Callers need no key. */
  readonly isPublic: boolean;
  /** Streams resume at another endpoint after the last event received. */
  readonly isResumable: boolean;
  readonly stages: readonly RouteStage[];
}
