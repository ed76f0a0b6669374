/**
 * What a stage that must run at most once needs of its request. Requests
 * without a claim use one that always allows.
 */
export interface OnceGuard {
  /** Resolves when the request's first stage may begin. */
  ready(): Promise<void>;
  /** Called before the stage before the first one that must run once. */
  prepare(): void;
  /** Resolves when the stage may be dispatched; rejects when it never may. */
  confirmed(): Promise<void>;
  /** Called right before each call; false forbids it. */
  dispatch(): boolean;
  /** Called when a dispatched call is proved not to have started. */
  notStarted(): void;
}

/** The guard of a request that only this daemon can ever run. */
export const FREE_ONCE_GUARD: OnceGuard = {
  ready: () => Promise.resolve(),
  prepare: () => {},
  confirmed: () => Promise.resolve(),
  dispatch: () => true,
  notStarted: () => {},
};
