import type { StageRecord } from "kelpspar-shared";

/** Where the records of one call go. */
export interface RecordWriter {
  /** Sends a record; nothing happens on a broken connection. */
  write(record: StageRecord): void;
  /** Ends the answer after its last record. */
  end(): void;
  /** Drops the connection. */
  drop(): void;
}
