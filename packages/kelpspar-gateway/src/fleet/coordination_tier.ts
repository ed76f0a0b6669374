import type { OwnState } from "./member_record.ts";

/** What the tier of a daemon depends on. */
export type CoordinationState = Pick<OwnState, "isStoreFresh" | "isIsolated">;

/** Number of tiers. */
export const COORDINATION_TIERS = 3;

/** Tier in the ranking of daemons that may run stages; 0 is the best. */
export function coordinationTier(
  { isStoreFresh, isIsolated }: CoordinationState,
): number {
  if (isIsolated) return 2;
  return isStoreFresh ? 0 : 1;
}
