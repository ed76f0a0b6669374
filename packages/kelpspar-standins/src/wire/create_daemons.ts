import type { DaemonProcessOptions } from "./daemon_process.ts";
import type { WireSite } from "./wire_site.ts";
import { join } from "node:path";
import { DaemonProcess } from "./daemon_process.ts";

/** Seeds of each daemon: the daemons created before it, up to this number. */
const MAXIMUM_SEEDS = 3;

/** What partitioned daemons don't reach. */
export type PartitionTarget = "endpoints" | "store" | "daemons";

type Settings = Readonly<Record<string, unknown>>;

/** Options of `createDaemons`. */
export interface CreateDaemonsOptions
  extends Pick<DaemonProcessOptions, "program" | "nodeArguments"> {
  readonly count: number;
  /** Folder for the settings files. */
  readonly folder: string;
  /** Path of the compiled `partition_hook.ts`, to partition daemons. */
  readonly partitionHook?: string;
  /** What daemons are partitioned from; default endpoints. */
  readonly partitionTarget?: PartitionTarget;
  /** Availability zones, assigned to daemons in rotation; default one. */
  readonly zones?: readonly string[];
  /** Receives the daemons' log lines. */
  readonly onLine?: ((line: string) => void) | undefined;
}

/** Creates the daemons of a site without starting them. */
export async function createDaemons(
  site: WireSite,
  options: CreateDaemonsOptions,
): Promise<readonly DaemonProcess[]> {
  const { count, folder, program, nodeArguments = [] } = options;
  const { partitionHook, onLine, zones = ["a"] } = options;
  const { partitionTarget = "endpoints" } = options;
  const settings: Settings[] = [];
  for (let index = 0; index < count; index++) {
    const seeds = settings.slice(0, MAXIMUM_SEEDS).map(controlAddress);
    const zone = zones[index % zones.length];
    settings.push(await site.createSettings(nameOf(index), seeds, zone));
  }
  const targets: Readonly<Record<PartitionTarget, readonly string[]>> = {
    endpoints: site.runnerAddresses,
    store: [site.storeAddress],
    daemons: settings.map(controlAddress),
  };
  return settings.map((daemonSettings, index) => {
    const name = nameOf(index);
    const daemon = new DaemonProcess({
      name,
      program,
      nodeArguments,
      settingsPath: join(folder, `${name}.json`),
      settings: daemonSettings,
      ...(partitionHook === undefined ? {} : {
        partition: { hook: partitionHook, addresses: targets[partitionTarget] },
      }),
    });
    if (onLine !== undefined) daemon.registerLine(onLine);
    return daemon;
  });
}

function nameOf(index: number): string {
  return `daemon-${index}`;
}

function controlAddress(settings: Settings): string {
  const listen = settings["listen"] as Readonly<Record<string, string>>;
  return listen["control"] ?? "";
}
