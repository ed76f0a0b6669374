/** A row of a table of the store. */
export interface TableRow {
  readonly key: string;
  /** Version of the row's last change, or of the page if the row has none. */
  readonly version: number;
  /** Decoded text. */
  readonly text: string;
  readonly isRemoved: boolean;
}

/** A snapshot of rows, or the changes up to it. */
export interface TablePage {
  readonly rows: readonly TableRow[];
  /** Version from which the feed continues. */
  readonly version: number;
}

/**
 * The store's era as reported in an answer. It rises by one each time the store
 * is restored from an older copy.
 */
export type ReportedEra = number | "missing" | "invalid";

/** A page and the era in which the store answered. */
export interface StoreAnswer extends TablePage {
  readonly era: ReportedEra;
}

/** Wait and timeout of a call. */
export interface CallTimes {
  /** How long the store may wait for a change, milliseconds. */
  readonly waitMilliseconds?: number;
  /** Timeout of the call, in addition to that wait, milliseconds. */
  readonly callTimeoutMilliseconds?: number;
  /** Aborts the call when its answer is no longer needed. */
  readonly signal?: AbortSignal;
}

/** Answer of a feed. */
export type FeedAnswer =
  | { readonly type: "rows"; readonly page: StoreAnswer }
  /** The store dropped the history; the table must be read again. */
  | { readonly type: "history_gone"; readonly era: ReportedEra };

/** The store as registered by a platform. Calls throw when they fail. */
export interface TableStore {
  /** Reads a whole table; `times` apply to each of its pages. */
  readTable(table: string, times?: CallTimes): Promise<StoreAnswer>;
  /** Reads the changes after `version` as soon as there are any. */
  readFeed(
    table: string,
    version: number,
    times?: CallTimes,
  ): Promise<FeedAnswer>;
  /** Writes or removes a row unconditionally; returns the answer's era. */
  write(
    table: string,
    key: string,
    text: string | undefined,
  ): Promise<ReportedEra>;
}

/** The store answered with a failure, or with an unusable page. */
export class StoreCallError extends Error {
  readonly era: ReportedEra;

  constructor(message: string, era: ReportedEra) {
    super(message);
    this.name = "StoreCallError";
    this.era = era;
  }
}

/**
 * A call wasn't answered in time. This says nothing of the store, because its
 * connection may have gone silent.
 */
export class StoreTimeoutError extends Error {
  constructor() {
    super("Call to the store timed out");
    this.name = "StoreTimeoutError";
  }
}
