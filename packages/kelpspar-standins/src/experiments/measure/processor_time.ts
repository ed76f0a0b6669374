import type { SiteDaemon } from "../../site/site_daemon.ts";
import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/**
 * Reads the processor time of daemons in seconds, by process id. It shows
 * whether a daemon's single thread limited a run.
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

/** Undefined if the process has exited or the system has no `/proc`. */
function readProcessorTime(processId: number): number | undefined {
  try {
    const text = readFileSync(`/proc/${processId}/stat`, "utf8");
    const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD]);
    return ticks / TICKS_PER_SECOND;
  } catch {
    return undefined;
  }
}
