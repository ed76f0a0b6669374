import type { FailureRecord, ResultName } from "kelpspar-shared";
import type { HttpAnswer, SentRequest } from "../support/http_exchange.ts";
import type { TestDaemon } from "../support/test_daemon.ts";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { exchange, exchangeBytes } from "../support/http_exchange.ts";
import {
  expectFailure,
  expectServed,
  startTestDaemon,
} from "../support/test_daemon.ts";
import { KEYS } from "../support/test_site.ts";

const MAXIMUM_BODY_BYTES = 65_536;
const MAXIMUM_HEADER_BYTES = 4_096;
const YEAR_MILLISECONDS = 365 * 24 * 3_600_000;
const SUBMIT = "/v1/requests";
const CLOSE = "host: x\r\nconnection: close\r\n";

let site: TestDaemon;

before(async () => {
  site = await startTestDaemon({
    settings: {
      limits: {
        maximumBodyBytes: MAXIMUM_BODY_BYTES,
        maximumHeaderBytes: MAXIMUM_HEADER_BYTES,
      },
    },
  });
});

after(() => site.daemon.stop());

type BadRequest = readonly [Omit<SentRequest, "port">, ResultName];

/** A submission that is valid except for the given fields. */
function submission(
  changes: Readonly<Record<string, unknown>>,
): Omit<SentRequest, "port"> {
  const valid = { pipeline: "echo", input: "x", deadlineMilliseconds: 1_000 };
  return { path: SUBMIT, key: KEYS.small, body: { ...valid, ...changes } };
}

/** A submission with this text as body. */
function text(body: string): Omit<SentRequest, "port"> {
  return { path: SUBMIT, key: KEYS.small, body };
}

/** A caller's request for a path. */
function requestFor(path: string, method = "GET"): Omit<SentRequest, "port"> {
  return { path, method, key: KEYS.small };
}

const GROUPS: Readonly<Record<string, readonly BadRequest[]>> = {
  "keys that are missing, wrong or of another API": [
    [{ ...submission({}), key: undefined as never }, "unknown_caller_key"],
    [{ ...submission({}), key: "no-such-key" }, "unknown_caller_key"],
    [{ ...submission({}), key: KEYS.administrator }, "unknown_caller_key"],
    [{ path: "/v1/addresses" }, "unknown_caller_key"],
    [{ path: "/v1/requests/by-key/k" }, "unknown_caller_key"],
    [{
      path: "/v1/addresses",
      headers: { authorization: `Basic ${KEYS.small}` },
    }, "unknown_caller_key"],
    [{ path: "/v1/operator/status" }, "unknown_operator_key"],
    [{ path: "/v1/operator/status", key: KEYS.small }, "unknown_operator_key"],
    [
      { path: "/v1/operator/status", key: KEYS.bootstrap },
      "unknown_operator_key",
    ],
  ],
  "bodies that are not a valid request": [
    [text("{"), "malformed_request"],
    [text("[]"), "malformed_request"],
    [text("null"), "malformed_request"],
    [text("\u0000"), "malformed_request"],
    [text("[".repeat(MAXIMUM_BODY_BYTES - 1)), "malformed_request"],
    [{ ...requestFor(SUBMIT), method: "POST" }, "malformed_request"],
    [submission({ extra: 1 }), "malformed_request"],
    [submission({ input: 1 }), "malformed_request"],
    [submission({ pipeline: "" }), "malformed_request"],
    [submission({ priority: 10 }), "malformed_request"],
    [submission({ resumeOffset: -1 }), "malformed_request"],
    [submission({ idempotencyKey: "" }), "malformed_request"],
    [submission({ idempotencyKey: "k".repeat(201) }), "malformed_request"],
    [submission({ idempotencyKey: "@daemon/no-epoch" }), "malformed_request"],
    [submission({ idempotencyKey: "@other/0.k" }), "wrong_daemon"],
    [submission({ pipeline: "none" }), "unknown_pipeline"],
    [submission({ pipeline: "__proto__" }), "unknown_pipeline"],
    [submission({ pipeline: "large-only" }), "not_allowed"],
  ],
  "invalid deadlines": [
    [submission({ deadlineMilliseconds: 0 }), "deadline_out_of_range"],
    [submission({ deadlineMilliseconds: -1 }), "deadline_out_of_range"],
    [
      submission({ deadlineMilliseconds: YEAR_MILLISECONDS }),
      "deadline_out_of_range",
    ],
    [submission({ deadlineMilliseconds: 0.5 }), "malformed_request"],
    [submission({ deadlineMilliseconds: "1000" }), "malformed_request"],
    [submission({ deadlineMilliseconds: null }), "malformed_request"],
    [
      text('{"pipeline":"echo","input":"","deadlineMilliseconds":1e999}'),
      "malformed_request",
    ],
  ],
  "invalid paths and methods": [
    [requestFor("/"), "unknown_path"],
    [requestFor("/v2/requests"), "unknown_path"],
    [requestFor("/v1/requests/"), "method_not_allowed"],
    [requestFor("/v1/requests/none/stream/more"), "unknown_path"],
    [requestFor("/v1/requests/%zz/stream"), "unknown_path"],
    [requestFor("/v1/requests/%ff/stream"), "unknown_path"],
    [requestFor("/v1/requests/none/stream"), "request_not_found"],
    [requestFor("/v1/requests/none", "DELETE"), "request_not_found"],
    [requestFor("/v1/requests/by-key/none"), "request_not_found"],
    [requestFor("/v1/requests/by-key/"), "request_not_found"],
    [requestFor("/v1/requests/by-key/%00"), "request_not_found"],
    [requestFor(SUBMIT), "method_not_allowed"],
    [requestFor(SUBMIT, "PUT"), "method_not_allowed"],
    [requestFor(SUBMIT, "OPTIONS"), "method_not_allowed"],
    [requestFor("/v1/addresses", "PROPFIND"), "method_not_allowed"],
    [requestFor("/v1/operator/nothing"), "unknown_path"],
  ],
};

for (const [name, requests] of Object.entries(GROUPS)) {
  test(`${name} are refused with a failure record, and the next request is served`, async () => {
    const { port } = site;
    for (const [request, result] of requests) {
      expectFailure(await exchange({ ...request, port }), result);
      await expectServed(port);
    }
  });
}

test("a body over the limit is refused, with a content length or chunked", async () => {
  const { port } = site;
  const body = `"${"x".repeat(MAXIMUM_BODY_BYTES)}"`;
  expectFailure(await exchange({ ...text(body), port }), "body_too_large");
  const declared = await exchangeBytes(
    port,
    post(`content-length: ${MAXIMUM_BODY_BYTES + 1}`),
  );
  expectFailure(declared, "body_too_large");
  const chunk = `${body.length.toString(16)}\r\n${body}\r\n`;
  const chunked = await exchangeBytes(
    port,
    post("transfer-encoding: chunked") + chunk,
  );
  expectFailure(chunked, "body_too_large");
  await expectServed(port);
});

test("bytes that are not HTTP are refused with a failure record", async () => {
  const { port } = site;
  const host = "host: x\r\n";
  const long = `x: ${"y".repeat(MAXIMUM_HEADER_BYTES)}\r\n`;
  const texts = [
    "hello\r\n\r\n",
    "\u0016\u0003\u0001\u0002\u0000\u0001\u0000\u0001\u00fc\u0003\u0003\r\n",
    `GET /v1/health HTTP/1.1\r\n${host}${long}\r\n`,
    `GET /v1/health HTTP/1.1\r\n${host}bad header\r\n\r\n`,
    `FETCH /v1/health HTTP/1.1\r\n${host}\r\n`,
    `GET /v1/health HTTP/9.9\r\n${host}\r\n`,
    post("content-length: -1"),
    post("content-length: 1\r\ntransfer-encoding: chunked"),
    post("transfer-encoding: chunked") + "zz\r\n",
  ];
  for (const sent of texts) {
    expectFailure(await exchangeBytes(port, sent), "malformed_request");
    await expectServed(port);
  }
});

test("requests that Node.js would answer itself are refused with a failure record", async () => {
  // Failure: a caller gets status 400 or 417 without a record, or no answer,
  // for a request without a host, with an unknown expectation or with method
  // CONNECT, because Node.js answers these before any route does.
  await expectRefused([
    "GET /v1/health HTTP/1.1\r\nconnection: close\r\n\r\n",
    `GET /v1/health HTTP/1.1\r\n${CLOSE}expect: a miracle\r\n\r\n`,
    `CONNECT x:1 HTTP/1.1\r\n${CLOSE}\r\n`,
  ]);
});

test("a path that is not a valid URL is a caller error, not an internal error", async () => {
  // Failure: status 500 with code 5004 and an error in the log for a request
  // for "//" or an invalid absolute URL, because the URL parser throws.
  await expectRefused([
    `GET // HTTP/1.1\r\n${CLOSE}\r\n`,
    `GET http://[ HTTP/1.1\r\n${CLOSE}\r\n`,
  ]);
});

/** Checks that each text is answered with a failure record of a caller error. */
async function expectRefused(texts: readonly string[]): Promise<void> {
  const { port } = site;
  const wrong: string[] = [];
  for (const sent of texts) {
    const answer = await exchangeBytes(port, sent);
    if (!isCallerError(answer)) {
      wrong.push(`${JSON.stringify(sent)}: ${JSON.stringify(answer)}`);
    }
    await expectServed(port);
  }
  expect(wrong).toEqual([]);
}

function isCallerError(answer: HttpAnswer): boolean {
  if (answer.status < 400 || answer.status > 499) return false;
  const record = JSON.parse(answer.text || "{}") as Partial<FailureRecord>;
  return record.type === "failure" && record.code !== undefined;
}

function post(header: string): string {
  return `POST ${SUBMIT} HTTP/1.1\r\nhost: x\r\n` +
    `authorization: Bearer ${KEYS.small}\r\n${header}\r\n\r\n`;
}
