import type { StageRecord } from "kelpspar-shared";

/** Writes the records of one call. */
export interface RecordWriter {
  /** Sends a record; does nothing on a broken connection. */
  write(record: StageRecord): void;
  /** Ends the response after the last record. */
  end(): void;
  /** Drops the connection. */
  drop(): void;
}
