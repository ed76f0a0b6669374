/** The table that holds leases (docs/PLATFORM.md). */
export const LEASES_TABLE = "leases";

/** The value of a group's row in the table `leases`. Never deleted. */
export interface LeaseRow {
  /** The holder's incarnation; empty once it was given back. */
  readonly holder: string;
  /** Grows by one with each acquisition; the first is 1. */
  readonly fencingNumber: number;
  /** How long the holder may act, from before it sent this row. */
  readonly leaseMilliseconds: number;
  /** How long an order of the holder may travel. */
  readonly longestOrderMilliseconds: number;
}

/** A lease as read from the table. */
export interface FoundLease {
  readonly row: LeaseRow;
  readonly version: number;
}

/** Reads a row's value; undefined when it is not a lease. */
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
