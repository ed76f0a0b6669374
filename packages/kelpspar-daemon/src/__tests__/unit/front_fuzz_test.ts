import type { AnswerRecord } from "kelpspar-shared";
import type { ArbitraryRequest } from "../support/arbitrary_requests.ts";
import type { HttpAnswer } from "../support/http_exchange.ts";
import type { TestDaemon } from "../support/test_daemon.ts";
import { expect } from "earl";
import fc from "fast-check";
import { after, before, test } from "node:test";
import { RESULT_CODES } from "kelpspar-shared";
import {
  arbitraryCallerRequests,
  arbitraryOperatorRequests,
  writeRequest,
} from "../support/arbitrary_requests.ts";
import { exchangeBytes } from "../support/http_exchange.ts";
import {
  expectServed,
  readRecords,
  startTestDaemon,
} from "../support/test_daemon.ts";

const RUNS = { seed: 20_251_202, numRuns: 400 };
const SERVED_CHECK_INTERVAL = 20;
const STATUS_OK = 200;

let site: TestDaemon;

before(async () => {
  site = await startTestDaemon();
});

after(() => site.daemon.stop());

test("arbitrary caller requests get an answer or a failure record", () =>
  checkAll(arbitraryCallerRequests));

test("arbitrary operator requests get an answer or a failure record", () =>
  checkAll(arbitraryOperatorRequests));

async function checkAll(
  requests: fc.Arbitrary<ArbitraryRequest>,
): Promise<void> {
  let runs = 0;
  await fc.assert(
    fc.asyncProperty(requests, async (request) => {
      const answer = await exchangeBytes(site.port, writeRequest(request));
      checkAnswer(request, answer);
      expect(site.ports.log.errors).toEqual([]);
      if (runs++ % SERVED_CHECK_INTERVAL === 0) await expectServed(site.port);
    }),
    RUNS,
  );
  await expectServed(site.port);
}

function checkAnswer(request: ArbitraryRequest, answer: HttpAnswer): void {
  expect(answer.status >= STATUS_OK).toEqual(true);
  const hasNoRecord = request.method === "HEAD" ||
    request.path.startsWith("/peer");
  if (hasNoRecord) return;
  if (answer.status !== STATUS_OK) {
    checkFailure(JSON.parse(answer.text) as AnswerRecord, answer.status);
    return;
  }
  const isStream = answer.text.includes('"type":"accepted"');
  if (!isStream) return;
  const last = readRecords(dechunk(answer.text)).at(-1);
  if (last?.type !== "end") checkFailure(last, undefined);
}

function checkFailure(
  record: AnswerRecord | undefined,
  status: number | undefined,
): void {
  if (record?.type !== "failure") throw new Error("No failure record");
  expect(record.result === "internal_error").toEqual(false);
  const row = RESULT_CODES[record.result];
  expect(record.code).toEqual(row.number);
  expect(status ?? row.httpStatus).toEqual(row.httpStatus);
}

/** Removes the chunk lengths from a body in chunked encoding. */
function dechunk(text: string): string {
  return text.split("\r\n").filter((_line, index) => index % 2 === 1).join("");
}
