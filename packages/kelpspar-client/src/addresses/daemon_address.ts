import type { DaemonAddress } from "kelpspar-shared";
import { parseHost } from "kelpspar-shared";

/** Formats a daemon's network address as `address:port`. */
export function toHostPort(
  daemon: Pick<DaemonAddress, "address" | "port">,
): string {
  return `${daemon.address}:${daemon.port}`;
}

/**
 * Parses `address:port` of a daemon about which nothing else is known: a seed,
 * or a daemon that another daemon suggested. No key can be bound to it, because
 * its incarnation is unknown.
 */
export function parseHostPort(place: string): DaemonAddress {
  return {
    ...parseHost(place),
    availabilityZone: "",
    incarnation: "",
    keyEpoch: 0,
    weight: 1,
  };
}
