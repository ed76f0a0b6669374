/** Leave to load the weights of one model version, given by the store. */
export interface WeightGrant {
  readonly granted: boolean;
  /** When to ask again, in milliseconds, if not granted. */
  readonly retryAfterMilliseconds: number;
}

/** The rate-limited weight store. Throws `object_unavailable`. */
export interface WeightStore {
  requestLoad(model: string, version: string): Promise<WeightGrant>;
}
