/**
 * Enforces that a stage runs at most once. Requests without a claim use
 * `UNRESTRICTED_ONCE_GUARD`.
 */
export interface OnceGuard {
  /** Resolves when the request's first stage may begin. */
  ready(): Promise<void>;
  /** Called before the stage that precedes the first at-most-once stage. */
  prepare(): void;
  /** Resolves when the stage may be dispatched; rejects when it may not. */
  confirmed(): Promise<void>;
  /** Called right before each call; false forbids the call. */
  tryDispatch(): boolean;
  /** Called when a dispatched call is proven not to have started. */
  recordNotStarted(): void;
}

/** The guard of a request that no other daemon can run. */
export const UNRESTRICTED_ONCE_GUARD: OnceGuard = {
  ready: () => Promise.resolve(),
  prepare: () => {},
  confirmed: () => Promise.resolve(),
  tryDispatch: () => true,
  recordNotStarted: () => {},
};
