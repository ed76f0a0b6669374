import type { DaemonProcessOptions } from "./daemon_process.ts";
import type { WireSite } from "./wire_site.ts";
import { join } from "node:path";
import { DaemonProcess } from "./daemon_process.ts";

/** Seeds of each daemon: the daemons created before it, up to this number. */
const MAXIMUM_SEEDS = 3;

/** Options of `createDaemons`. */
export interface CreateDaemonsOptions
  extends Pick<DaemonProcessOptions, "program" | "nodeArguments"> {
  readonly count: number;
  /** Folder for the settings files. */
  readonly folder: string;
  /** Path of the compiled `partition_hook.ts`, to partition daemons. */
  readonly partitionHook?: string;
  /** Receives the daemons' log lines. */
  readonly onLine?: ((line: string) => void) | undefined;
}

/** Creates the daemons of a site without starting them. */
export async function createDaemons(
  site: WireSite,
  options: CreateDaemonsOptions,
): Promise<readonly DaemonProcess[]> {
  const { count, folder, program, nodeArguments = [] } = options;
  const { partitionHook, onLine } = options;
  const daemons: DaemonProcess[] = [];
  for (let index = 0; index < count; index++) {
    const name = `daemon-${index}`;
    const seeds = daemons.slice(0, MAXIMUM_SEEDS).map((seed) =>
      (seed.options.settings["listen"] as Record<string, string>)["control"] ??
        ""
    );
    const daemon = new DaemonProcess({
      name,
      program,
      nodeArguments,
      settingsPath: join(folder, `${name}.json`),
      settings: await site.createSettings(name, seeds),
      ...(partitionHook === undefined ? {} : {
        partition: { hook: partitionHook, addresses: site.runnerAddresses },
      }),
    });
    if (onLine !== undefined) daemon.registerLine(onLine);
    daemons.push(daemon);
  }
  return daemons;
}
