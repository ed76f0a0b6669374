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
    file: `${GATEWAY}/requests/request_dispatcher.ts`,
    code: "run.isQuarantined || run.isSuspect ||",
    without: "run.isSuspect ||",
    noticedBy: `${GATEWAY_TESTS}/quarantined_request_test.ts`,
  },
  {
    name: "a cut answer alone is no crash",
    file: `${GATEWAY}/quarantine/crash_detector.ts`,
    code:
      'const mayHaveCrashed = state === "refused" || state === "restarted";',
    without: "const mayHaveCrashed = true;",
    noticedBy: `${GATEWAY_TESTS}/crash_detector_test.ts`,
  },
  {
    name: "a served request isn't poison for crashes around it",
    file: `${DECISIONS}/quarantine/crash_ledger.ts`,
    code: "findPoisonRequests(counted)",
    without: "findPoisonRequests(reports)",
    noticedBy: `${DECISIONS}/__tests__/unit/crash_ledger_test.ts`,
  },
  {
    name: "an answer clears its parts",
    file: `${GATEWAY}/requests/answer_evidence.ts`,
    code: "options.dependencies.quarantine.answered({",
    without: "void ({",
    noticedBy: `${GATEWAY_TESTS}/quarantined_parts_test.ts`,
  },
  {
    name: "an answer that goes on clears its parts",
    file: `${GATEWAY}/requests/answer_progress.ts`,
    code: "this.#onSound(wrote, isNew);",
    without: "",
    noticedBy: `${GATEWAY_TESTS}/quarantined_parts_test.ts`,
  },
  {
    name: "a cut stream isn't resumed while its part is suspect",
    file: `${GATEWAY}/requests/request_dispatcher.ts`,
    code: "run.hasAttemptsLeft && !run.isSuspect",
    without: "run.hasAttemptsLeft",
    noticedBy: `${GATEWAY_TESTS}/quarantined_parts_test.ts`,
  },
  {
    name: "a request isn't hedged while its part is suspect",
    file: `${GATEWAY}/requests/request_dispatcher.ts`,
    code: "run.isQuarantined || run.isSuspect ||",
    without: "run.isQuarantined ||",
    noticedBy: `${GATEWAY_TESTS}/quarantined_parts_test.ts`,
  },
  {
    name: "answers that were cut together count once",
    file: `${DECISIONS}/quarantine/part_trials.ts`,
    code: "if (!isSeparate) {",
    without: "if (trials.length < 0) {",
    noticedBy: `${DECISIONS}/__tests__/unit/find_crashing_parts_test.ts`,
  },
  {
    name: "crashes of answers that had gone on weigh less",
    file: `${DECISIONS}/quarantine/crash_weight.ts`,
    code: "CRASH_THRESHOLD / (CRASH_THRESHOLD + doublings)",
    without: "1",
    noticedBy: `${DECISIONS}/__tests__/unit/find_crashing_parts_test.ts`,
  },
  {
    name: "answers outlast those that cleared a part and crashed",
    file: `${DECISIONS}/quarantine/part_evidence.ts`,
    code: "Math.max(ageMilliseconds, crashed)",
    without: "ageMilliseconds",
    noticedBy: `${DECISIONS}/__tests__/unit/find_crashing_parts_test.ts`,
  },
  {
    name: "answers of other software clear nothing",
    file: `${DECISIONS}/quarantine/crash_ledger.ts`,
    code: "report.software === software &&",
    without: "",
    noticedBy: `${DECISIONS}/__tests__/unit/find_crashing_parts_test.ts`,
  },
  {
    name: "unrelated crashes raise the number that blames a part",
    file: `${DECISIONS}/quarantine/find_crashing_parts.ts`,
    code: "thresholdOfCandidate(candidate, raised.length)",
    without: "thresholdOfCandidate(candidate)",
    noticedBy: `${DECISIONS}/__tests__/unit/find_crashing_parts_test.ts`,
  },
  {
    name: "a daemon that finds the marker reads the quarantine",
    file: `${GATEWAY}/quarantine/quarantine_rows.ts`,
    code: "  handleMarker(): void {\n    this.#scheduleRead();",
    without: "  handleMarker(): void {",
    noticedBy: `${GATEWAY_TESTS}/quarantine_rows_test.ts`,
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
