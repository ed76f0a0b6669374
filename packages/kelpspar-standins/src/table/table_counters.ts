/** Counters of a table since its start. */
export interface TableCounters {
  /** Transactions that were committed or failed by a conflict. */
  transactions: number;
  conflicts: number;
  rowsWritten: number;
  reads: number;
  scans: number;
  rowsRead: number;
  /** Calls refused because of an outage, the rate limit or invalid input. */
  refused: number;
  answersLost: number;
  writesDelayed: number;
}

/** Creates counters at zero. */
export function createTableCounters(): TableCounters {
  return {
    transactions: 0,
    conflicts: 0,
    rowsWritten: 0,
    reads: 0,
    scans: 0,
    rowsRead: 0,
    refused: 0,
    answersLost: 0,
    writesDelayed: 0,
  };
}
