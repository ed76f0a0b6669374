/** The store's response to a request to load the weights of a model version. */
export interface WeightGrant {
  readonly granted: boolean;
  /** Delay before the next request, in milliseconds, if not granted. */
  readonly retryAfterMilliseconds: number;
}

/** The rate-limited weight store. Its methods throw `object_unavailable`. */
export interface WeightStore {
  requestLoad(model: string, version: string): Promise<WeightGrant>;
}
