import type { Guard } from "./guard.ts";

const GATEWAY = "packages/kelpspar-gateway/src";
const GATEWAY_TESTS = `${GATEWAY}/__tests__/unit`;
const PLATFORM_TESTS = "platform/src/__tests__/unit";

/** Guards of the gateway, each with the test that notices its absence. */
export const GUARDS: readonly Guard[] = [
  {
    name: "a configuration never goes back",
    file: `${GATEWAY}/configuration/configuration_keeper.ts`,
    code: "if (configuration.version <= this.version) return false;",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/route_table_test.ts`,
  },
  {
    name: "only the last of several configurations counts",
    file: "platform/src/store_sources.ts",
    code: "page.rows.findLast(",
    without: "page.rows.find(",
    noticedBy: `${PLATFORM_TESTS}/platform_path_test.ts`,
  },
  {
    name: "leaving is final",
    file: `${GATEWAY}/endpoints/endpoint_book.ts`,
    code:
      "if (bornAt <= (this.#left.get(id) ?? Number.NEGATIVE_INFINITY)) return;",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/endpoint_book_test.ts`,
  },
  {
    name: "an entry that stays missing is gone",
    file: `${GATEWAY}/endpoints/endpoint_book.ts`,
    code: "state.lapsesAt !== undefined && state.lapsesAt <= now",
    without: "state.lapsesAt !== undefined && state.lapsesAt < 0",
    noticedBy: `${GATEWAY_TESTS}/endpoint_book_test.ts`,
  },
  {
    name: "a body that a reset ended is cut",
    file: `${GATEWAY}/exchange/http_exchange.ts`,
    code: "if (!isFramed(message)) cutBody",
    without: "if (false) cutBody",
    noticedBy: `${GATEWAY_TESTS}/http_exchange_test.ts`,
  },
  {
    name: "an answer of another request is refused",
    file: "platform/src/runner_client.ts",
    code: "if (attemptId !== call.request.attemptId) return",
    without: "if (attemptId === null) return",
    noticedBy: `${PLATFORM_TESTS}/platform_path_test.ts`,
  },
  {
    name: "what may run once isn't repeated",
    file: `${GATEWAY}/requests/request_run.ts`,
    code: "return isRepeatable && this.runs < attempts;",
    without: "return this.runs < 2;",
    noticedBy: `${PLATFORM_TESTS}/platform_path_test.ts`,
  },
  {
    name: "a refusal says not run only while nothing ran",
    file: `${GATEWAY}/requests/request_run.ts`,
    code: "const answer: OwnAnswer = this.runs === 0",
    without: "const answer: OwnAnswer = this.runs >= 0",
    noticedBy: `${GATEWAY_TESTS}/request_service_test.ts`,
  },
  {
    name: "half an event is dropped before a stream goes on elsewhere",
    file: `${GATEWAY}/requests/stream_forward.ts`,
    code: "this.#relay.dropRest();",
    without: "",
    noticedBy: `${PLATFORM_TESTS}/platform_path_test.ts`,
  },
  {
    name: "a stream goes on after the last event let through",
    file: `${GATEWAY}/requests/stream_relay.ts`,
    code: "ids.at(-1)?.[1]?.trim() ?? this.#lastEventId",
    without: "this.#lastEventId",
    noticedBy: `${GATEWAY_TESTS}/stream_relay_test.ts`,
  },
  {
    name: "repeats come out of a budget",
    file: `${GATEWAY}/retries/service_retry_budget.ts`,
    code: "if (repeats.sum(now) + count > allowed) return false;",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/service_retry_budget_test.ts`,
  },
  {
    name: "a piece is sent with all its inputs only",
    file: `${GATEWAY}/pieces/piece_queue.ts`,
    code: "&& facts.hasInputs(task)",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/piece_coordinator_test.ts`,
  },
  {
    name: "a stage begins when there is room for all of its pieces",
    file: `${GATEWAY}/pieces/startable_pieces.ts`,
    code: "const mayStart = need <= left || left >= room;",
    without: "const mayStart = true;",
    noticedBy: `${GATEWAY_TESTS}/startable_pieces_test.ts`,
  },
  {
    name: "what can't be on time is refused at once",
    file: `${GATEWAY}/pieces/admit_chain.ts`,
    code: "if (expected <= limit) return",
    without: "if (expected >= 0) return",
    noticedBy: `${GATEWAY_TESTS}/admit_chain_test.ts`,
  },
  {
    name: "a life that ended isn't taken up again",
    file: `${GATEWAY}/fleet/fleet_membership.ts`,
    code: "if (record.retired.has(incarnation)) return;",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/fleet_membership_test.ts`,
  },
  {
    name: "a daemon that stood still counts silence anew",
    file: `${GATEWAY}/fleet/fleet_membership.ts`,
    code: "if (gap > PAUSE_MILLISECONDS) this.#silenceCountsFrom = now;",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/fleet_membership_test.ts`,
  },
  {
    name: "few are greeted in a large fleet",
    file: `${GATEWAY}/fleet/fleet.ts`,
    code: "this.greet(peers.filter(() => random.next() < share));",
    without: "this.greet(peers.filter(() => random.next() < 1 + share));",
    noticedBy: `${GATEWAY_TESTS}/fleet_test.ts`,
  },
  {
    name: "no configuration yet is 503, not 404",
    file: `${GATEWAY}/requests/request_service.ts`,
    code: "status: 503,\n        retryAfterMilliseconds: NO_CONFIGURATION",
    without: "status: 404,\n        retryAfterMilliseconds: NO_CONFIGURATION",
    noticedBy: `${GATEWAY_TESTS}/request_service_test.ts`,
  },
];
