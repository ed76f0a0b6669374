/** What a table was asked since it began. */
export interface TableCounters {
  /** Transactions that took effect or met a conflict. */
  transactions: number;
  conflicts: number;
  rowsWritten: number;
  reads: number;
  scans: number;
  rowsRead: number;
  /** Calls refused for an outage, the rate or as not valid. */
  refused: number;
  answersLost: number;
  writesDelayed: number;
}

/** Counters at zero. */
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
