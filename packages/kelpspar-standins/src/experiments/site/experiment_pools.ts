import type { PoolPlan } from "../../site/site_plan.ts";
import type { SiteChanges } from "./site_changes.ts";
import {
  MODEL,
  MODEL_VERSION,
  ONCE_SERVICE,
  SERVICES,
} from "./experiment_services.ts";

const ENGINE_COUNT = 8;
const PLAIN_ENDPOINT_COUNT = 3;
/** Below the stand-in's default, so that the host does not limit a run. */
const ENGINE_MAXIMUM_BATCH = 4;

/**
 * Creates the endpoint pools of an experiment's site. The endpoints print every
 * execution.
 */
export function createPools(changes: SiteChanges): readonly PoolPlan[] {
  return SERVICES.map((service) =>
    service === "engine"
      ? createEnginePool(changes)
      : createPlainPool(service, changes)
  );
}

function createPlainPool(service: string, changes: SiteChanges): PoolPlan {
  const { onceMilliseconds } = changes;
  const isSlower = service === ONCE_SERVICE && onceMilliseconds !== undefined;
  return {
    service,
    count: changes.plainEndpoints ?? PLAIN_ENDPOINT_COUNT,
    settings: {
      kind: "plain",
      printExecutions: true,
      ...(isSlower ? { plain: { serviceMilliseconds: onceMilliseconds } } : {}),
    },
  };
}

function createEnginePool(changes: SiteChanges): PoolPlan {
  return {
    service: "engine",
    count: changes.engines ?? ENGINE_COUNT,
    settings: {
      kind: "engine",
      printExecutions: true,
      engine: {
        models: { [MODEL]: MODEL_VERSION },
        maximumBatch: ENGINE_MAXIMUM_BATCH,
        ...changes.engine,
      },
    },
  };
}
