/** What may be repeated: follows from the route, never from a name. */
export type RequestKind = "idempotent" | "non_idempotent" | "stream";

/** A service that takes a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets' weights. */
  readonly weight: number;
}

/** Work that must be done in pieces before a request itself can run. */
export interface RouteStage {
  readonly service: string;
  /** Numbers of the stages whose results this one reads. */
  readonly after: readonly number[];
  /** About how large one result is, bytes. */
  readonly resultBytes: number;
}

/** Where requests of a host and path prefix go, and on what terms. */
export interface ServiceRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** The longest that a caller is kept waiting. */
  readonly timeoutMilliseconds: number;
  /** Within which an answer (a stream's first event) is on time. */
  readonly objectiveMilliseconds: number;
  /** The most endpoints that one request may run on. */
  readonly attempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Needs no key. */
  readonly isPublic: boolean;
  /** Streams go on at another endpoint after the last event that arrived. */
  readonly isResumable: boolean;
  readonly stages: readonly RouteStage[];
}
