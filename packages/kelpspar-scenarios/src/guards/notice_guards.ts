import type { Guard } from "./guard.ts";

const GATEWAY = "packages/kelpspar-gateway/src";
const TESTS = `${GATEWAY}/__tests__/unit`;

/** Guards of what endpoints say of themselves, for the whole fleet. */
export const NOTICE_GUARDS: readonly Guard[] = [
  {
    name: "a named limit binds",
    file: `${GATEWAY}/endpoints/endpoint_gate.ts`,
    code: "if (named === undefined) return cold;",
    without: "if (named !== cold) return cold;",
    noticedBy: `${TESTS}/limited_load_test.ts`,
  },
  {
    name: "an endpoint that takes nothing is asked now and then",
    file: `${GATEWAY}/endpoints/endpoint_gate.ts`,
    code: "return Math.max(LEAST_PER_SECOND, Math.min(named, cold ?? named));",
    without: "return Math.min(named, cold ?? named);",
    noticedBy: `${TESTS}/limited_load_test.ts`,
  },
  {
    name: "a share that isn't used in its turn is lost",
    file: "packages/kelpspar-decisions/src/routing/shared_pace.ts",
    code: "const isInSlot = intervalFraction < CONCURRENT_SENDERS / senders;",
    without: "const isInSlot = intervalFraction >= 0;",
    noticedBy: `${TESTS}/limited_load_test.ts`,
  },
  {
    name: "calls with pieces count",
    file: `${GATEWAY}/pieces/endpoint_lane.ts`,
    code: "this.#gate.chosen(this.endpoint, now);",
    without: "",
    noticedBy: `${TESTS}/limited_chains_test.ts`,
  },
  {
    name: "requests without a place are refused before their daemon gives up",
    file: `${GATEWAY}/pieces/most_place_wait.ts`,
    code: "if (!hasPieces) return LONGEST_WITHOUT_PIECES_MILLISECONDS;",
    without: "",
    noticedBy: `${TESTS}/limited_chains_test.ts`,
  },
  {
    name: "chains are admitted by what limits leave",
    file: `${GATEWAY}/pieces/piece_coordinator.ts`,
    code: "stages: [...stages, this.#placing(request)],",
    without: "stages,",
    noticedBy: `${TESTS}/limited_chains_test.ts`,
  },
  {
    name: "a place that was given without the limit isn't used",
    file: `${GATEWAY}/requests/choose_for_request.ts`,
    code: "if (!isWithin) return undefined;",
    without: "void isWithin;",
    noticedBy: `${TESTS}/limited_request_test.ts`,
  },
  {
    name: "the lower limit of the same time counts",
    file: `${GATEWAY}/endpoints/endpoint_limits.ts`,
    code: "return (word.perSecond ?? none) < (known.perSecond ?? none);",
    without: "return word.at > known.at;",
    noticedBy: `${TESTS}/endpoint_limits_test.ts`,
  },
  {
    name: "an unreadable limit is presumed",
    file: `${GATEWAY}/endpoints/endpoint_limits.ts`,
    code: "this.of(life) ?? PRESUMED_PER_SECOND",
    without: "this.of(life)",
    noticedBy: `${TESTS}/endpoint_limits_test.ts`,
  },
  {
    name: "leaving told to one daemon holds for others",
    file: `${GATEWAY}/endpoints/notice_handlers.ts`,
    code: 'book.leave(life, "leaving");\n    log',
    without: "log",
    noticedBy: `${TESTS}/notice_handlers_test.ts`,
  },
];
