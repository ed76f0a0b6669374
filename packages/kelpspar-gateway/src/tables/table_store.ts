/** A row of a table of the store. */
export interface TableRow {
  readonly key: string;
  /** Of the row's last change; the page's where the row doesn't tell. */
  readonly version: number;
  /** Decoded text. */
  readonly text: string;
  readonly isRemoved: boolean;
}

/** Rows as of one moment, or what changed up to it. */
export interface TablePage {
  readonly rows: readonly TableRow[];
  /** From where the feed goes on. */
  readonly version: number;
}

/**
 * What an answer says of the store's era, which rises by one each time that
 * the store comes back from an older copy.
 */
export type EraWord = number | "missing" | "invalid";

/** A page, and the era in which the store gave it. */
export interface StoreAnswer extends TablePage {
  readonly era: EraWord;
}

/** How long a call waits and may take. */
export interface CallTimes {
  /** How long the store may wait for a change, milliseconds. */
  readonly waitMilliseconds?: number;
  /** How long the call may take beside that, milliseconds. */
  readonly limitMilliseconds?: number;
  /** Ends the call: its answer isn't wanted any more. */
  readonly signal?: AbortSignal;
}

/** What a feed answers. */
export type FeedAnswer =
  | { readonly type: "rows"; readonly page: StoreAnswer }
  /** The history is gone; the table must be read again. */
  | { readonly type: "history_gone"; readonly era: EraWord };

/** The store, as a platform registers it. Each call throws when it fails. */
export interface TableStore {
  /** Reads a whole table; `times` hold for each of its pages. */
  readTable(table: string, times?: CallTimes): Promise<StoreAnswer>;
  /** What changed after `version`, as soon as there is something. */
  readFeed(
    table: string,
    version: number,
    times?: CallTimes,
  ): Promise<FeedAnswer>;
  /** Writes or removes a row, whatever it was; gives the answer's era. */
  write(table: string, key: string, text: string | undefined): Promise<EraWord>;
}

/** A call that the store answered with a failure, or whose page is unusable. */
export class StoreCallError extends Error {
  readonly era: EraWord;

  constructor(message: string, era: EraWord) {
    super(message);
    this.name = "StoreCallError";
    this.era = era;
  }
}
