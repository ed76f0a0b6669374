import type { SitePlan } from "../../site/site_plan.ts";
import type { ArmName } from "../arm.ts";
import type { SiteChanges } from "./site_changes.ts";
import { PROGRAMS } from "../../site/programs.ts";
import { createConfiguration } from "./experiment_configuration.ts";
import { createPools } from "./experiment_pools.ts";

/** Availability zones of all experiment sites. */
export const ZONES: readonly string[] = ["zone-a", "zone-b", "zone-c"];

const DAEMON_COUNT = 3;
const TABLE_LATENCY_MILLISECONDS = 3;
const VM_LIST_LAG_MILLISECONDS = 500;

/** Creates the plan of an experiment's site. */
export function createSitePlan(options: {
  readonly arm: ArmName;
  readonly changes: SiteChanges;
  readonly seed: number;
}): SitePlan {
  const { arm, changes, seed } = options;
  const { daemonSettings, vmListLagMilliseconds } = changes;
  return {
    daemons: changes.daemons ?? DAEMON_COUNT,
    availabilityZones: ZONES,
    pools: createPools(changes),
    configuration: createConfiguration(changes.configuration),
    platform: {
      table: {
        faults: {
          latencyMilliseconds: TABLE_LATENCY_MILLISECONDS,
          ...changes.table,
        },
      },
      vms: {
        lagMilliseconds: vmListLagMilliseconds ?? VM_LIST_LAG_MILLISECONDS,
      },
    },
    ...(daemonSettings === undefined ? {} : { daemonSettings }),
    ...(arm === "naive" ? { daemonProgram: PROGRAMS.naive } : {}),
    seed,
  };
}
