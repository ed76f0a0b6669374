import type { EndpointState } from "../../endpoints/endpoint_state.ts";
import type { RequestRun } from "../../requests/request_run.ts";
import { expect } from "earl";
import { test } from "node:test";
import { auditSend } from "../../requests/send_audit.ts";

interface SendOptions {
  readonly attemptsLeft?: number;
  readonly remaining?: number;
  readonly pauseMilliseconds?: number;
}

/** The limits that the audit of one send counts. */
function countedLimits(options: SendOptions): readonly string[] {
  const { attemptsLeft = 1, remaining = 100, pauseMilliseconds = 0 } = options;
  const counted: string[] = [];
  const run = {
    isRepeatable: true,
    attemptsLeft,
    runs: 1,
    remaining: () => remaining,
    now: () => 0,
    options: {
      request: { attemptId: "a1" },
      service: "model",
      dependencies: {
        quarantine: { findSuspectPart: () => undefined },
        metrics: {
          countSendOverLimit: (_: string, limit: string) => counted.push(limit),
        },
        log: { info: () => {}, warn: () => {} },
      },
    },
  };
  const endpoint = {
    entry: { id: "e1" },
    remainingRequestedPauseMilliseconds: () => pauseMilliseconds,
  };
  auditSend(
    run as unknown as RequestRun,
    endpoint as unknown as EndpointState,
  );
  return counted;
}

// Guards against sends over a limit that no metric shows.
test("a send over a limit is counted by the limit", () => {
  expect(countedLimits({})).toEqual([]);
  expect(countedLimits({ attemptsLeft: 0 })).toEqual(["attempts"]);
  expect(countedLimits({ remaining: 0 })).toEqual(["deadline"]);
  expect(countedLimits({ pauseMilliseconds: 500 })).toEqual(["pause"]);
});
