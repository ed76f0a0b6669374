import type { ListedVm } from "kelpspar-backends";

const ZONES: readonly string[] = ["zone-a", "zone-b", "zone-c"];
const DAEMON_PORT = 7_000;
const ENDPOINT_PORT = 8_000;

/** Creates the VM of a daemon, by its number from 1. */
export function createDaemonVm(number: number): ListedVm {
  return {
    id: `daemon-${number}`,
    incarnation: `daemon-${number}-vm-1`,
    address: `10.1.0.${number}`,
    port: DAEMON_PORT,
    availabilityZone: zoneOf(number),
    kind: "daemon",
    service: "",
    state: "live",
    checksFencing: false,
  };
}

/** Creates the VM of an endpoint, by its number from 1 in its service. */
export function createEndpointVm(
  service: string,
  options: {
    readonly number: number;
    /** Its number from 1 among all endpoints, used for its address. */
    readonly place: number;
  },
): ListedVm {
  const id = `${service}-${options.number}`;
  return {
    id,
    incarnation: `${id}-vm-1`,
    address: `10.2.0.${options.place}`,
    port: ENDPOINT_PORT,
    availabilityZone: zoneOf(options.number),
    kind: "endpoint",
    service,
    state: "live",
    checksFencing: true,
  };
}

function zoneOf(number: number): string {
  return ZONES[(number - 1) % ZONES.length] ?? "";
}
