import type { DaemonAddress } from "kelpspar-shared";

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
  const colon = place.lastIndexOf(":");
  return {
    address: place.slice(0, colon),
    port: Number(place.slice(colon + 1)),
    availabilityZone: "",
    incarnation: "",
    keyEpoch: 0,
    weight: 1,
  };
}
