import type { DaemonAddress } from "kelpspar-shared";
import { parseHost } from "kelpspar-shared";

/** Where a daemon is, as `address:port`. */
export function daemonPlace(
  daemon: Pick<DaemonAddress, "address" | "port">,
): string {
  return `${daemon.address}:${daemon.port}`;
}

/**
 * A daemon of which only the place is known: a seed, or one that another
 * daemon named. No key can be bound to it.
 */
export function daemonAtPlace(place: string): DaemonAddress {
  return {
    ...parseHost(place),
    availabilityZone: "",
    incarnation: "",
    keyEpoch: 0,
    weight: 1,
  };
}
