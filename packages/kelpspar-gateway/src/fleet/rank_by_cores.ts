import type { DaemonAddress } from "./fleet_digest.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";

/** Daemons with at least this share of the largest core count rank as equal. */
const SIMILAR_CORES_RATIO = 0.9;

/**
 * Ranks daemons by name: those with the most cores first, and within each group
 * by the rendezvous hash of `key`. All daemons compute the same order, and work
 * that one daemon does for all goes to one with spare capacity.
 */
export function rankByCores(
  key: string,
  addresses: readonly DaemonAddress[],
): readonly string[] {
  const largest = Math.max(...addresses.map((address) => address.cores));
  const isLarge = (address: DaemonAddress): boolean =>
    address.cores >= largest * SIMILAR_CORES_RATIO;
  const groups = [
    addresses.filter(isLarge),
    addresses.filter((address) => !isLarge(address)),
  ];
  return groups.flatMap((group) => {
    const ids = group.map((address) => address.daemonId);
    return new RendezvousNodes(ids).best(key, ids.length);
  });
}
