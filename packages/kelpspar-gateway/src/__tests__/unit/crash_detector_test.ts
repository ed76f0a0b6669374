import type { CrashReport } from "kelpspar-decisions/quarantine";
import type { TruncatedAnswer } from "../../quarantine/crash_detector.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { CrashDetector } from "../../quarantine/crash_detector.ts";

/** Checks an endpoint that refuses connections; returns the reports. */
async function checkRefusing(
  isIsolated: boolean,
  answer: Partial<TruncatedAnswer> = {},
): Promise<readonly CrashReport[]> {
  const reports: CrashReport[] = [];
  const detector = new CrashDetector({
    quarantine: { reportCrash: (report) => void reports.push(report) },
    endpoints: { check: () => Promise.resolve("refused") },
    isolation: { verified: () => Promise.resolve(isIsolated) },
    timer: new ManualTimer(),
    log: { info: () => {}, warn: () => {} },
  });
  await detector.checkEndpoint({
    attemptId: "a1",
    fingerprint: "f",
    promptParts: [],
    endpoint: {
      id: "i1",
      bornAt: 1,
      service: "model",
      address: "10.0.0.1:80",
      zone: "a",
      slots: 4,
      isDraining: false,
    },
    sentAt: 0,
    answeredAt: undefined,
    hasRestarted: false,
    ...answer,
  });
  return reports;
}

test("an endpoint that refuses connections after a cut answer has crashed", async () => {
  const reports = await checkRefusing(false);
  expect(reports.map(({ crash }) => crash)).toEqual(["i1 born 1"]);
});

// Guards against a quarantine of requests that were cut by a partition.
test("an isolated daemon counts no crashes of endpoints", async () => {
  expect(await checkRefusing(true)).toEqual([]);
});

// Guards against blaming by a time that includes a hang or a suspension.
test("a truncated answer wrote until its last event", async () => {
  const times = { answeredAt: -930, firstEventAt: -930, lastEventAt: -900 };
  const [report] = await checkRefusing(false, times);
  expect(report?.ranMilliseconds).toEqual(930);
  expect(report?.wroteMilliseconds).toEqual(30);
});
