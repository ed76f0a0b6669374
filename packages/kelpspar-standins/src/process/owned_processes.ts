import type { StartedProcess } from "./started_process.ts";

const EXIT_CODES = { SIGINT: 130, SIGTERM: 143 } as const;
const owned = new Set<Pick<StartedProcess, "signal">>();

/** Kills a process when this program exits, unless `exited` resolves before. */
export function ownProcess(
  started: Pick<StartedProcess, "signal" | "exited">,
): void {
  // Without the exit hook, child processes keep running and occupy ports.
  process.off("exit", killAll);
  process.on("exit", killAll);
  owned.add(started);
  void started.exited.then(() => owned.delete(started));
}

/**
 * Makes this program exit on SIGINT and SIGTERM, which would otherwise end it
 * without the hook that kills the processes that it started.
 */
export function exitOnSignals(): void {
  for (const signal of ["SIGINT", "SIGTERM"] as const) {
    process.once(signal, () => process.exit(EXIT_CODES[signal]));
  }
}

function killAll(): void {
  for (const started of owned) started.signal("SIGKILL");
}
