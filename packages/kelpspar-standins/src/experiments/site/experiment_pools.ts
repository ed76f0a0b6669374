import type { PoolPlan } from "../../site/site_plan.ts";
import type { SiteChanges } from "./site_changes.ts";
import {
  MODEL,
  MODEL_VERSION,
  ONCE_SERVICE,
  SERVICES,
} from "./experiment_services.ts";

const ENGINES = 8;
const PLAIN_ENDPOINTS = 3;
/** Smaller than the stand-in's default, so that the machine is no limit. */
const ENGINE_BATCH = 4;

/** The endpoints of an experiment's site; every run of a call is printed. */
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
    count: changes.plainEndpoints ?? PLAIN_ENDPOINTS,
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
    count: changes.engines ?? ENGINES,
    settings: {
      kind: "engine",
      printExecutions: true,
      engine: {
        models: { [MODEL]: MODEL_VERSION },
        maximumBatch: ENGINE_BATCH,
        ...changes.engine,
      },
    },
  };
}
