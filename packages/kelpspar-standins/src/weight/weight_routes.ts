import type { WeightGrant } from "kelpspar-backends";
import type { RateLimit } from "../faults/rate_limit.ts";
import type { JsonRoute } from "../http/json_route.ts";
import { answer } from "../http/json_reply.ts";

/** Counters of the weight store since its start. */
export interface WeightCounters {
  granted: number;
  refused: number;
}

/** The rate-limited weight store's HTTP protocol (docs/PLATFORM.md). */
export function createWeightRoutes(limit: RateLimit): readonly JsonRoute[] {
  const counters: WeightCounters = { granted: 0, refused: 0 };
  return [
    {
      method: "POST",
      path: "/v1/loads",
      handler: () => answer(requestLoad(limit, counters)),
    },
    {
      method: "GET",
      path: "/control/counters",
      handler: () => answer(counters),
    },
  ];
}

function requestLoad(limit: RateLimit, counters: WeightCounters): WeightGrant {
  if (limit.tryConsume()) {
    counters.granted += 1;
    return { granted: true, retryAfterMilliseconds: 0 };
  }
  counters.refused += 1;
  const retryAfterMilliseconds = Math.ceil(limit.waitMilliseconds);
  return { granted: false, retryAfterMilliseconds };
}
