import type { Settings } from "kelpspar-daemon";
import type { ListedVm } from "kelpspar-backends";
import { settingsSchema } from "kelpspar-daemon";

const PLATFORM_ORIGIN = "http://10.0.0.1:80";

/** Creates the settings of a daemon; its seeds are the other daemons. */
export function createDaemonSettings(
  daemonId: string,
  vms: readonly ListedVm[],
): Settings {
  const daemons = vms.filter(({ kind }) => kind === "daemon");
  const own = daemons.find(({ id }) => id === daemonId);
  if (own === undefined) throw new Error(`No VM "${daemonId}"`);
  return settingsSchema.parse({
    daemonId,
    address: own.address,
    port: own.port,
    availabilityZone: own.availabilityZone,
    platform: {
      tableOrigin: PLATFORM_ORIGIN,
      objectOrigin: PLATFORM_ORIGIN,
      weightOrigin: PLATFORM_ORIGIN,
      vmListOrigin: PLATFORM_ORIGIN,
    },
    seeds: daemons
      .filter(({ id }) => id !== daemonId)
      .map(({ address, port }) => `${address}:${port}`),
    peerSecret: "the daemons of the scenarios",
  });
}
