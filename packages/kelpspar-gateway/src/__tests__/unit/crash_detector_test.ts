import type { CrashReport } from "kelpspar-decisions/quarantine";
import type { ListeningState } from "../../exchange/check_listening.ts";
import type { TruncatedAnswer } from "../../quarantine/crash_detector.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { CrashDetector } from "../../quarantine/crash_detector.ts";

/** What a detector finds; may change after the answer was truncated. */
interface Surroundings {
  isIsolated: boolean;
  areOthersIsolated: boolean;
  state: ListeningState;
}

interface CheckedAnswer {
  readonly reports: readonly CrashReport[];
  readonly surroundings: Surroundings;
  readonly timer: ManualTimer;
}

/** Checks the endpoint of a truncated answer, which refuses connections. */
async function checkRefusing(
  isIsolated: boolean,
  answer: Partial<TruncatedAnswer> = {},
): Promise<CheckedAnswer> {
  const reports: CrashReport[] = [];
  const surroundings: Surroundings = {
    isIsolated,
    areOthersIsolated: false,
    state: "refused",
  };
  const timer = new ManualTimer();
  const detector = new CrashDetector({
    quarantine: { reportCrash: (report) => void reports.push(report) },
    endpoints: { check: () => Promise.resolve(surroundings.state) },
    isolation: {
      verified: () => Promise.resolve(surroundings.isIsolated),
      get isIsolated() {
        return surroundings.isIsolated;
      },
    },
    membership: { hasOnlyIsolated: () => surroundings.areOthersIsolated },
    timer,
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
  return { reports, surroundings, timer };
}

test("an endpoint that refuses connections after a cut answer has crashed", async () => {
  const { reports } = await checkRefusing(false);
  expect(reports.map(({ crash }) => crash)).toEqual(["i1 born 1"]);
});

// Guards against a quarantine of requests that were cut by a partition.
test("an isolated daemon counts no crashes of endpoints", async () => {
  const { reports, timer } = await checkRefusing(true);
  await timer.advance(20_000);
  expect(reports).toEqual([]);
});

// Guards against blaming by a time that includes a hang or a suspension.
test("a truncated answer wrote until its last event", async () => {
  const times = { answeredAt: -930, firstEventAt: -930, lastEventAt: -900 };
  const { reports: [report] } = await checkRefusing(false, times);
  expect(report?.ranMilliseconds).toEqual(930);
  expect(report?.wroteMilliseconds).toEqual(30);
});

// Guards against crashes of all endpoints that each daemon takes for a partition.
test("a crash is reported when no other daemon reaches an endpoint", async () => {
  const { reports, surroundings, timer } = await checkRefusing(true);
  await timer.advance(300);
  expect(reports).toEqual([]);
  surroundings.areOthersIsolated = true;
  await timer.advance(200);
  expect(reports.length).toEqual(1);
  await timer.advance(20_000);
  expect(reports.length).toEqual(1);
});

// Guards against crashes that are never reported because they end an isolation.
test("a crash is reported after an isolation if its endpoint stays down", async () => {
  for (const state of ["refused", "listening"] as const) {
    const { reports, surroundings, timer } = await checkRefusing(true);
    await timer.advance(1_000);
    surroundings.isIsolated = false;
    surroundings.state = state;
    await timer.advance(200);
    expect(reports.length).toEqual(state === "refused" ? 1 : 0);
  }
});
