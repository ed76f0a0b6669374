import type { EngineOrder } from "kelpspar-shared";
import type { JsonRoute } from "../../http/json_route.ts";
import type { EngineCache } from "./engine_cache.ts";
import type { OrderLog } from "./order_log.ts";
import type { CachedPrefix } from "./prefix_cache.ts";
import { answer } from "../../http/json_reply.ts";

const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;

/** The part of an engine that its routes use. */
export interface RoutedEngine {
  readonly cache: EngineCache;
  readonly orders: OrderLog;
  /** Applies an order; false when it was refused. */
  order(order: EngineOrder): boolean;
}

/** Routes of the endpoint protocol that only engines have. */
export function createEngineRoutes(
  engine: RoutedEngine,
): readonly JsonRoute[] {
  return [
    {
      method: "GET",
      path: "/v1/cache-events",
      handler: ({ query }) => {
        const after = Number(query.get("after") ?? 0);
        return answer(engine.cache.eventsAfter(after));
      },
    },
    {
      method: "GET",
      path: "/v1/cache-snapshot",
      handler: () => answer(engine.cache.snapshot),
    },
    {
      method: "POST",
      path: "/v1/orders",
      handler: ({ body }) => {
        if (engine.order(body as EngineOrder)) return answer({});
        return answer({ error: "Old fencing number" }, STATUS_CONFLICT);
      },
    },
    {
      method: "GET",
      path: "/v1/cache/*",
      handler: ({ parameters }) => {
        const cached = engine.cache.export(parameters[0] ?? "");
        if (cached !== undefined) return answer(cached);
        return answer({ error: "Not in the cache" }, STATUS_NOT_FOUND);
      },
    },
    {
      method: "POST",
      path: "/v1/cache/*",
      handler: ({ body }) => {
        engine.cache.import(body as CachedPrefix);
        return answer({});
      },
    },
    {
      method: "GET",
      path: "/control/orders",
      handler: () => answer({ orders: engine.orders.orders }),
    },
  ];
}
