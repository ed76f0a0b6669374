import type { Guard } from "./guard.ts";

const GATEWAY = "packages/kelpspar-gateway/src";
const GATEWAY_TESTS = `${GATEWAY}/__tests__/unit`;
const DECISIONS = "packages/kelpspar-decisions/src";

/** Guards of the quarantine and of the notices of endpoints. */
export const QUARANTINE_GUARDS: readonly Guard[] = [
  {
    name: "a quarantined request fails before its stages",
    file: `${GATEWAY}/requests/request_service.ts`,
    code: "if (run.isQuarantined) {",
    without: "if (run.isQuarantined && !run.isOpen) {",
    noticedBy: `${GATEWAY_TESTS}/quarantined_request_test.ts`,
  },
  {
    name: "a request quarantined meanwhile isn't sent",
    file: `${GATEWAY}/requests/request_dispatcher.ts`,
    code: "if (run.isQuarantined) {",
    without: "if (run.isQuarantined && !run.isOpen) {",
    noticedBy: `${GATEWAY_TESTS}/quarantined_request_test.ts`,
  },
  {
    name: "a quarantined request isn't hedged",
    file: `${GATEWAY}/requests/endpoint_sender.ts`,
    code: "!run.isQuarantined",
    without: "true",
    noticedBy: `${GATEWAY_TESTS}/quarantined_request_test.ts`,
  },
  {
    name: "a cut answer alone is no crash",
    file: `${GATEWAY}/quarantine/crash_detector.ts`,
    code: 'if (state !== "refused" && state !== "restarted") return;',
    without: "",
    noticedBy: `${GATEWAY_TESTS}/quarantined_request_test.ts`,
  },
  {
    name: "a served request isn't poison for crashes around it",
    file: `${DECISIONS}/quarantine/crash_ledger.ts`,
    code: "findPoisonRequests(counted)",
    without: "findPoisonRequests(reports)",
    noticedBy: `${DECISIONS}/__tests__/unit/crash_ledger_test.ts`,
  },
  {
    name: "daemons that know different crashes share them",
    file: `${GATEWAY}/fleet/gossip_sync.ts`,
    code: "if (checksum !== this.checksum) void this.#share(peer);",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/quarantine_sync_test.ts`,
  },
  {
    name: "rows that a restored store lost are written again",
    file: `${GATEWAY}/quarantine/quarantine_rows.ts`,
    code: "this.#writtenRows.clear();",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/quarantine_rows_test.ts`,
  },
  {
    name: "crashes that come together are one read",
    file: `${GATEWAY}/quarantine/quarantine_rows.ts`,
    code: "if (this.#isReadDue) return;",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/quarantine_rows_test.ts`,
  },
  {
    name: "leaving counts for an endpoint that isn't in use",
    file: `${GATEWAY}/endpoints/notice_handlers.ts`,
    code: "registry.retire({ id, bornAt: startedAt },",
    without:
      "if (known !== undefined) registry.retire({ id, bornAt: startedAt },",
    noticedBy: `${GATEWAY_TESTS}/notice_handlers_test.ts`,
  },
  {
    name: "a pause keeps an endpoint out of the choice",
    file: `${GATEWAY}/endpoints/prefer_healthy.ts`,
    code:
      "endpoints.filter((endpoint) =>\n    endpoint.remainingPauseMilliseconds(now) === 0\n  )",
    without: "endpoints",
    noticedBy: `${GATEWAY_TESTS}/notice_handlers_test.ts`,
  },
  {
    name: "a pause has a longest length",
    file: `${GATEWAY}/endpoints/notice_handlers.ts`,
    code: "Math.min(milliseconds, MAXIMUM_PAUSE_MILLISECONDS)",
    without: "milliseconds",
    noticedBy: `${GATEWAY_TESTS}/notice_handlers_test.ts`,
  },
];
