import type { TimerService } from "kelpspar-shared";
import type { GatewayLog } from "../log/gateway_log.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";

/** How often missing entries are checked, milliseconds. */
const SWEEP_INTERVAL_MILLISECONDS = 100;

/** Dependencies of `registerMissingEntrySweep`. */
export interface MissingEntrySweepOptions {
  readonly registry: EndpointRegistry;
  readonly timer: TimerService;
  readonly log: GatewayLog;
}

/**
 * Removes endpoints whose entries stay missing beyond their grace period. The
 * timer runs only while entries are missing. Returns the teardown.
 */
export function registerMissingEntrySweep(
  { registry, timer, log }: MissingEntrySweepOptions,
): () => void {
  let stopSweep: (() => void) | undefined;
  const stop = (): void => {
    stopSweep?.();
    stopSweep = undefined;
  };
  const sweep = (): void => {
    for (const endpoint of registry.removeExpired(timer.now())) {
      log.info("endpoint removed", { endpoint });
    }
    if (!registry.hasMissing) stop();
  };
  const unregister = registry.registerMissing(() => {
    stopSweep ??= timer.registerInterval(sweep, SWEEP_INTERVAL_MILLISECONDS);
  });
  return () => {
    unregister();
    stop();
  };
}
