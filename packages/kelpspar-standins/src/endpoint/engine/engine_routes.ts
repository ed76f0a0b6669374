import type { CacheSnapshot, EngineOrder } from "kelpspar-shared";
import type { JsonRoute } from "../../http/json_route.ts";
import type { CachedPrefix, PrefixCache } from "./prefix_cache.ts";
import type { CacheEventLog } from "./cache_event_log.ts";
import type { OrderLog } from "./order_log.ts";
import { answer } from "../../http/json_reply.ts";

const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;

/** What the routes need of an engine. */
export interface RoutedEngine {
  readonly cache: PrefixCache;
  readonly events: CacheEventLog;
  readonly orders: OrderLog;
  order(order: EngineOrder): boolean;
}

/** The part of the endpoint protocol that only engines have. */
export function createEngineRoutes(
  engine: RoutedEngine,
  incarnation: string,
): readonly JsonRoute[] {
  return [
    {
      method: "GET",
      path: "/v1/cache-events",
      handler: ({ query }) =>
        answer(engine.events.page(Number(query.get("after") ?? 0))),
    },
    {
      method: "GET",
      path: "/v1/cache-snapshot",
      handler: () => answer(toSnapshot(engine, incarnation)),
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
        const cached = engine.cache.get(parameters[0] ?? "");
        if (cached !== undefined) return answer(cached);
        return answer({ error: "Not in the cache" }, STATUS_NOT_FOUND);
      },
    },
    {
      method: "POST",
      path: "/v1/cache/*",
      handler: ({ body }) => {
        engine.cache.store(body as CachedPrefix);
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

function toSnapshot(engine: RoutedEngine, incarnation: string): CacheSnapshot {
  return {
    incarnation,
    prefixHashes: engine.cache.prefixHashes,
    lastSequence: engine.events.sequence,
  };
}
