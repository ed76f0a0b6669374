import type { SiteDaemon } from "../../site/site_daemon.ts";
import { readFileSync } from "node:fs";

const TICKS_A_SECOND = 100;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/**
 * Processor time of daemons, seconds, by their process id. Tells whether a
 * daemon's one thread was what limited a run.
 */
export function readProcessorTimes(
  daemons: readonly SiteDaemon[],
): ReadonlyMap<number, number> {
  const times = new Map<number, number>();
  for (const { process } of daemons) {
    const seconds = readProcessorTime(process.processId);
    if (seconds !== undefined) times.set(process.processId, seconds);
  }
  return times;
}

/** Undefined for a process that is gone, and where there is no `/proc`. */
function readProcessorTime(processId: number): number | undefined {
  try {
    const text = readFileSync(`/proc/${processId}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
    return ticks / TICKS_A_SECOND;
  } catch {
    return undefined;
  }
}
