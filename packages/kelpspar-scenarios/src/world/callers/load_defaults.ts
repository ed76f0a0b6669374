/** Properties of the requests that a scenario schedules next. */
export interface LoadDefaults {
  deadlineMilliseconds: number;
  /** Number of the daemon to try first; undefined to use the directory. */
  daemon: number | undefined;
  /** The client account; undefined to alternate among all. */
  accountId: string | undefined;
}

/** Creates the initial properties of requests. */
export function createLoadDefaults(): LoadDefaults {
  return {
    deadlineMilliseconds: 3_000,
    daemon: undefined,
    accountId: undefined,
  };
}
