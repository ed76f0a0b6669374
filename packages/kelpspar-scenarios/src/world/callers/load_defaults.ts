/** What requests are like that a scenario plans from here on. */
export interface LoadDefaults {
  deadlineMilliseconds: number;
  /** The daemon asked first, by its number; undefined for all in turn. */
  daemon: number | undefined;
  /** The client account; undefined for all in turn. */
  accountId: string | undefined;
}

/** What requests are like at first. */
export function createLoadDefaults(): LoadDefaults {
  return {
    deadlineMilliseconds: 3_000,
    daemon: undefined,
    accountId: undefined,
  };
}
