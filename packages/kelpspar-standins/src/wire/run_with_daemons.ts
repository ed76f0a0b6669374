import type { CreateDaemonsOptions } from "./create_daemons.ts";
import type { DaemonProcess } from "./daemon_process.ts";
import type { WireSite } from "./wire_site.ts";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { createDaemons } from "./create_daemons.ts";

/** Time for daemons to start and discover each other. */
const STARTUP_MILLISECONDS = 3_000;

/** Starts a site and its daemons, plays on them, and ends them. */
export async function runWithDaemons<Result>(
  site: WireSite,
  options: Omit<CreateDaemonsOptions, "folder">,
  play: (daemons: readonly DaemonProcess[]) => Promise<Result>,
): Promise<Result> {
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-play-"));
  let daemons: readonly DaemonProcess[] = [];
  try {
    await site.start();
    daemons = await createDaemons(site, { ...options, folder });
    for (const daemon of daemons) daemon.start();
    await setTimeoutPromise(STARTUP_MILLISECONDS);
    return await play(daemons);
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.end()));
    site.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}
