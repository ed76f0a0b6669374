import type { Guard } from "./guard.ts";

const GATEWAY = "packages/kelpspar-gateway/src";
const TESTS = `${GATEWAY}/__tests__/unit`;

/** Guards of isolated daemons and of brittle endpoints. */
export const ISOLATION_GUARDS: readonly Guard[] = [
  {
    name: "a failed connection that others explain isn't an isolation",
    file: `${GATEWAY}/isolation/isolation_monitor.ts`,
    code: "const isExplained = startedAt < this.#connectedAt;",
    without: "const isExplained = startedAt < 0;",
    noticedBy: `${TESTS}/isolation_monitor_test.ts`,
  },
  {
    name: "an isolated daemon counts no crashes",
    file: `${GATEWAY}/quarantine/crash_detector.ts`,
    code:
      'const isIsolated = state === "refused" && await isolation.verified();',
    without: "const isIsolated = false;",
    noticedBy: `${TESTS}/crash_detector_test.ts`,
  },
  {
    name: "isolated daemons aren't listed for callers",
    file: `${GATEWAY}/front/choose_caller_addresses.ts`,
    code: "withoutIsolated(usable.length > 0 ? usable : [self], isIsolated)",
    without: "usable.length > 0 ? usable : [self]",
    noticedBy: `${TESTS}/choose_caller_addresses_test.ts`,
  },
  {
    name: "a relayed request isn't relayed again",
    file: `${GATEWAY}/requests/request_dispatcher.ts`,
    code: "if (this.#run.mayRelay) return await this.#relayer.run();",
    without: "return await this.#relayer.run();",
    noticedBy: `${TESTS}/relayed_request_test.ts`,
  },
  {
    name: "a relayed request counts as a run until it is refused",
    file: `${GATEWAY}/requests/request_relayer.ts`,
    code: "run.runs += attempts;",
    without: "",
    noticedBy: `${TESTS}/relayed_request_test.ts`,
  },
  {
    name: "stages that another daemon has begun aren't new",
    file: `${GATEWAY}/requests/request_relayer.ts`,
    code:
      "if (stagesBegunAt !== undefined) run.recordEarlierStages(stagesBegunAt);",
    without: "",
    noticedBy: `${TESTS}/relayed_request_test.ts`,
  },
  {
    name: "a request that another daemon sent is sent again by a retry",
    file: `${GATEWAY}/requests/request_relayer.ts`,
    code:
      'return answer.type !== "refused" || answer.refusal.isDelivered !== true;',
    without: "return true;",
    noticedBy: `${TESTS}/relayed_request_test.ts`,
  },
  {
    name: "a refusal tells that endpoints got the request",
    file: `${GATEWAY}/requests/request_run.ts`,
    code: "const isDelivered = this.deliveries > 0;",
    without: "const isDelivered = false;",
    noticedBy: `${TESTS}/relayed_request_test.ts`,
  },
  {
    name: "a refusal of an able daemon is final",
    file: `${GATEWAY}/requests/request_relayer.ts`,
    code: 'if (isUnable) return "again";',
    without: 'return "again";',
    noticedBy: `${TESTS}/relayed_request_test.ts`,
  },
  {
    name: "open requests at brittle endpoints are limited",
    file: `${GATEWAY}/endpoints/concurrency_limiter.ts`,
    code: "endpoint.inFlight < this.#quotaOf(endpoint);",
    without: "true;",
    noticedBy: "platform/src/__tests__/unit/brittle_endpoints_test.ts",
  },
  {
    name: "a short silence leaves no failures",
    file: `${GATEWAY}/endpoints/endpoint_state.ts`,
    code: "if (this.#trials.start(now)) this.#clearFailures();",
    without: "",
    noticedBy: "platform/src/__tests__/unit/silent_endpoint_test.ts",
  },
  {
    name: "late answers of a silent endpoint don't raise the expected time",
    file: `${GATEWAY}/requests/first_byte_estimates.ts`,
    code: "const isSample = !isOverdue || overdueShare >= SLOWER_SHARE;",
    without: "const isSample = true;",
    noticedBy: `${TESTS}/first_byte_estimates_test.ts`,
  },
  {
    name: "a slow trial is followed by a pause",
    file: `${GATEWAY}/endpoints/resume_trials.ts`,
    code: "this.#nextAt = now + this.#pauseMilliseconds;",
    without: "",
    noticedBy: `${TESTS}/endpoint_registry_test.ts`,
  },
  {
    name: "a request doesn't wait for a place in vain",
    file: `${GATEWAY}/endpoints/concurrency_limiter.ts`,
    code: "if (expected > maximumMilliseconds * ADMITTED_WAIT_SHARE) {",
    without: "if (expected < 0) {",
    noticedBy: `${TESTS}/concurrency_limiter_test.ts`,
  },
  {
    name: "daemons without a place at brittle endpoints relay",
    file: `${GATEWAY}/endpoints/concurrency_limiter.ts`,
    code: "return isHolder ? undefined : holders;",
    without: "return undefined;",
    noticedBy: `${TESTS}/brittle_load_test.ts`,
  },
  {
    name: "a leaving daemon is the last resort for relayed requests",
    file: `${GATEWAY}/relay/choose_relay_peer.ts`,
    code: "untried.filter(({ isLeaving }) => !isLeaving);",
    without: "untried;",
    noticedBy: `${TESTS}/choose_relay_peer_test.ts`,
  },
];
