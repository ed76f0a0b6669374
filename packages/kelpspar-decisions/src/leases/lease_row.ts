/** Table of leases (docs/PLATFORM.md). */
export const LEASES_TABLE = "leases";

/** Value of a group's row in the table `leases`. Rows are never deleted. */
export interface LeaseRow {
  /** Incarnation of the holder; empty after a release. */
  readonly holder: string;
  /** Increases by one with each acquisition, starting at 1. */
  readonly fencingNumber: number;
  /** Lease duration, counted from before the holder sent this row. */
  readonly leaseMilliseconds: number;
  /** Maximum time that an order of the holder may be in transit. */
  readonly longestOrderMilliseconds: number;
}

/** A lease as read from the table. */
export interface FoundLease {
  readonly row: LeaseRow;
  readonly version: number;
}

/** Parses a row's value; undefined if it is not a lease. */
export function parseLeaseRow(value: unknown): LeaseRow | undefined {
  if (typeof value !== "object" || value === null) return undefined;
  const row = value as Partial<Record<keyof LeaseRow, unknown>>;
  const numbers = [
    row.fencingNumber,
    row.leaseMilliseconds,
    row.longestOrderMilliseconds,
  ];
  const isLease = typeof row.holder === "string" &&
    numbers.every((number) => typeof number === "number");
  return isLease ? value as LeaseRow : undefined;
}
