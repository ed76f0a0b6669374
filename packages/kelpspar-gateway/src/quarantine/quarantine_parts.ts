import type { CrashDetectorOptions } from "./crash_detector.ts";
import type { FleetMembership } from "../fleet/fleet_membership.ts";
import type { GatewayMetrics } from "../metrics/gateway_metrics.ts";
import type { QuarantineSyncOptions } from "./quarantine_sync.ts";
import { CrashDetector } from "./crash_detector.ts";
import { Quarantine } from "./quarantine.ts";
import { QuarantineSync } from "./quarantine_sync.ts";

/** Options of `createQuarantineParts`. */
export type QuarantinePartsOptions =
  & Omit<CrashDetectorOptions, "quarantine">
  & Omit<QuarantineSyncOptions, "quarantine">
  & {
    readonly membership: Pick<FleetMembership, "isFirstServing">;
    readonly metrics: Pick<GatewayMetrics, "countQuarantineChange">;
  };

/** A daemon's quarantine, its crash detector and its sync with peers. */
export interface QuarantineParts {
  readonly quarantine: Quarantine;
  readonly detector: CrashDetector;
  readonly sync: QuarantineSync;
  /** Starts expiring reports and notifying peers; returns the teardown. */
  register(): () => void;
}

/** Creates the parts; they are inactive until `register`. */
export function createQuarantineParts(
  options: QuarantinePartsOptions,
): QuarantineParts {
  const { membership, timer } = options;
  const quarantine = new Quarantine({
    ...options,
    isProbing: () => membership.isFirstServing(timer.now()),
  });
  const sync = new QuarantineSync({ ...options, quarantine });
  return {
    quarantine,
    sync,
    detector: new CrashDetector({ ...options, quarantine }),
    register: (): () => void => {
      const teardowns = [quarantine.register(), sync.register()];
      return () => teardowns.forEach((teardown) => teardown());
    },
  };
}
