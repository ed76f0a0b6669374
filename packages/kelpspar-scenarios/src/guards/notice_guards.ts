import type { Guard } from "./guard.ts";

const GATEWAY = "packages/kelpspar-gateway/src";
const TESTS = `${GATEWAY}/__tests__/unit`;

/** Guards of the notices of endpoints, which daemons share in the fleet. */
export const NOTICE_GUARDS: readonly Guard[] = [
  {
    name: "a named limit binds",
    file: `${GATEWAY}/endpoints/endpoint_rate_limiter.ts`,
    code: "if (reported === undefined) return cold;",
    without: "if (reported !== cold) return cold;",
    noticedBy: `${TESTS}/limited_load_test.ts`,
  },
  {
    name: "an endpoint that takes nothing is asked now and then",
    file: `${GATEWAY}/endpoints/endpoint_rate_limiter.ts`,
    code:
      "return Math.max(\n      MINIMUM_REQUESTS_PER_SECOND,\n      Math.min(reported, cold ?? reported),\n    );",
    without: "return Math.min(reported, cold ?? reported);",
    noticedBy: `${TESTS}/limited_load_test.ts`,
  },
  {
    name: "a share that isn't used in its turn is lost",
    file: "packages/kelpspar-decisions/src/routing/shared_rate_limiter.ts",
    code: "const isInSlot = intervalFraction < CONCURRENT_SENDERS / senders;",
    without: "const isInSlot = intervalFraction >= 0;",
    noticedBy: `${TESTS}/limited_load_test.ts`,
  },
  {
    name: "calls with pieces count",
    file: `${GATEWAY}/pieces/call_target.ts`,
    code: "this.#rateLimiter.recordRequest(this.endpoint, now);",
    without: "",
    noticedBy: `${TESTS}/limited_chains_test.ts`,
  },
  {
    name: "requests without a place are refused before their daemon gives up",
    file: `${GATEWAY}/pieces/max_placement_wait.ts`,
    code: "if (!hasPieces) return MAX_WAIT_WITHOUT_PIECES_MILLISECONDS;",
    without: "",
    noticedBy: `${TESTS}/limited_chains_test.ts`,
  },
  {
    name: "chains are admitted by what limits leave",
    file: `${GATEWAY}/pieces/piece_coordinator.ts`,
    code: "stages: [...stages, this.#placementForecast(request)],",
    without: "stages,",
    noticedBy: `${TESTS}/limited_chains_test.ts`,
  },
  {
    name: "a place that was given without the limit isn't used",
    file: `${GATEWAY}/requests/choose_request_endpoint.ts`,
    code: "if (!isWithinLimit) return undefined;",
    without: "void isWithinLimit;",
    noticedBy: `${TESTS}/limited_request_test.ts`,
  },
  {
    name: "the lower limit of the same time counts",
    file: `${GATEWAY}/endpoints/endpoint_limits.ts`,
    code: "return (report.perSecond ?? none) < (known.perSecond ?? none);",
    without: "return report.at > known.at;",
    noticedBy: `${TESTS}/endpoint_limits_test.ts`,
  },
  {
    name: "an unreadable limit is presumed",
    file: `${GATEWAY}/endpoints/endpoint_limits.ts`,
    code: "this.limitOf(incarnation) ?? UNREADABLE_LIMIT_REQUESTS_PER_SECOND",
    without: "this.limitOf(incarnation)",
    noticedBy: `${TESTS}/endpoint_limits_test.ts`,
  },
  {
    name: "leaving told to one daemon holds for others",
    file: `${GATEWAY}/endpoints/notice_handlers.ts`,
    code: 'registry.retire(incarnation, "leaving");\n    log',
    without: "log",
    noticedBy: `${TESTS}/notice_handlers_test.ts`,
  },
];
