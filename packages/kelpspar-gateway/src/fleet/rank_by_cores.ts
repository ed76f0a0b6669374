import type { DaemonAddress } from "./fleet_digest.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";

/** Daemons whose share of a processor is this near the largest are alike. */
const ALIKE_CORES_SHARE = 0.9;

/**
 * Names of daemons, those with the largest share of a processor first, and
 * among these by the hash of `key`: all daemons rank them alike, and work that
 * one does for all falls on one that has room for it.
 */
export function rankByCores(
  key: string,
  addresses: readonly DaemonAddress[],
): readonly string[] {
  const most = Math.max(...addresses.map((one) => one.cores));
  const isLarge = (one: DaemonAddress): boolean =>
    one.cores >= most * ALIKE_CORES_SHARE;
  const groups = [
    addresses.filter(isLarge),
    addresses.filter((one) => !isLarge(one)),
  ];
  return groups.flatMap((group) => {
    const ids = group.map((one) => one.daemonId);
    return new RendezvousNodes(ids).best(key, ids.length);
  });
}
