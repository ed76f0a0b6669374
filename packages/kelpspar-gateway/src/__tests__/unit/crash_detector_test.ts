import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { CrashDetector } from "../../quarantine/crash_detector.ts";

/** Checks an endpoint that refuses connections; returns the crashes. */
async function checkRefusing(isIsolated: boolean): Promise<readonly string[]> {
  const crashes: string[] = [];
  const detector = new CrashDetector({
    quarantine: { reportCrash: ({ crash }) => void crashes.push(crash) },
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
  });
  return crashes;
}

test("an endpoint that refuses connections after a cut answer has crashed", async () => {
  expect(await checkRefusing(false)).toEqual(["i1 born 1"]);
});

// Guards against a quarantine of requests that were cut by a partition.
test("an isolated daemon counts no crashes of endpoints", async () => {
  expect(await checkRefusing(true)).toEqual([]);
});
