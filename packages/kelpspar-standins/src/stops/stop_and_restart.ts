import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { PlannedStop } from "./stop_attempt.ts";
import type { StopSituation } from "./stop_situation.ts";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";

/** How a daemon is stopped and started again. */
export interface StopAndRestartOptions
  extends Pick<StopSituation, "signals" | "restartMilliseconds"> {
  readonly graceMilliseconds: number;
  /** Receives the stop. */
  readonly stops: PlannedStop[];
  /** Called when the stop begins. */
  readonly follow?: (stop: PlannedStop) => void;
}

/** Resolves when the daemon has been started again. */
export async function stopAndRestart(
  daemon: DaemonProcess,
  options: StopAndRestartOptions,
): Promise<void> {
  const { signals, graceMilliseconds, restartMilliseconds } = options;
  for (const { signal, afterMilliseconds } of signals) {
    if (afterMilliseconds < 0) daemon.signal(signal);
    else setTimeout(() => daemon.signal(signal), afterMilliseconds);
  }
  const stop: PlannedStop = {
    address: daemon.front,
    signalledAt: performance.now(),
    endedAt: undefined,
    wasKilled: false,
  };
  options.stops.push(stop);
  daemon.signal("SIGTERM");
  options.follow?.(stop);
  const kill = setTimeout(() => {
    stop.wasKilled = true;
    daemon.signal("SIGKILL");
  }, graceMilliseconds);
  await daemon.exited;
  clearTimeout(kill);
  stop.endedAt = performance.now();
  await setTimeoutPromise(restartMilliseconds);
  await daemon.restartAfterExit();
}
