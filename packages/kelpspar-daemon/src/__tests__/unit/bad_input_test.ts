import type { FailureRecord, ResultName } from "kelpspar-shared";
import type { SentRequest, WholeAnswer } from "../support/http_exchange.ts";
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

/** A submission that is good but for the given fields. */
function submission(
  changes: Readonly<Record<string, unknown>>,
): Omit<SentRequest, "port"> {
  const good = { pipeline: "echo", input: "x", deadlineMilliseconds: 1_000 };
  return { path: SUBMIT, key: KEYS.small, body: { ...good, ...changes } };
}

/** A submission whose body is this text. */
function text(body: string): Omit<SentRequest, "port"> {
  return { path: SUBMIT, key: KEYS.small, body };
}

/** A request for a path by a caller. */
function asks(path: string, method = "GET"): Omit<SentRequest, "port"> {
  return { path, method, key: KEYS.small };
}

const GROUPS: Readonly<Record<string, readonly BadRequest[]>> = {
  "keys that are missing, wrong or another interface's": [
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
  "bodies that are no request": [
    [text("{"), "malformed_request"],
    [text("[]"), "malformed_request"],
    [text("null"), "malformed_request"],
    [text("\u0000"), "malformed_request"],
    [text("[".repeat(MAXIMUM_BODY_BYTES - 1)), "malformed_request"],
    [{ ...asks(SUBMIT), method: "POST" }, "malformed_request"],
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
  "deadlines that no request may have": [
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
  "paths, methods and offsets": [
    [asks("/"), "unknown_path"],
    [asks("/v2/requests"), "unknown_path"],
    [asks("/v1/requests/"), "method_not_allowed"],
    [asks("/v1/requests/none/stream/more"), "unknown_path"],
    [asks("/v1/requests/%zz/stream"), "unknown_path"],
    [asks("/v1/requests/%ff/stream"), "unknown_path"],
    [asks("/v1/requests/none/stream"), "request_not_found"],
    [asks("/v1/requests/none", "DELETE"), "request_not_found"],
    [asks("/v1/requests/by-key/none"), "request_not_found"],
    [asks("/v1/requests/by-key/"), "request_not_found"],
    [asks("/v1/requests/by-key/%00"), "request_not_found"],
    [asks(SUBMIT), "method_not_allowed"],
    [asks(SUBMIT, "PUT"), "method_not_allowed"],
    [asks(SUBMIT, "OPTIONS"), "method_not_allowed"],
    [asks("/v1/addresses", "PROPFIND"), "method_not_allowed"],
    [asks("/v1/operator/nothing"), "unknown_path"],
  ],
};

for (const [name, requests] of Object.entries(GROUPS)) {
  test(`${name} are refused by number, and the next is served`, async () => {
    const { port } = site;
    for (const [request, result] of requests) {
      expectFailure(await exchange({ ...request, port }), result);
      await expectServed(port);
    }
  });
}

test("a body over the limit is refused, declared or in chunks", async () => {
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

test("what is not HTTP is refused by number", async () => {
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

test("HTTP that Node.js answers by itself is refused by number too", async () => {
  // Symptom: a caller gets status 400 or 417 without a record, or no answer.
  // Sequence: a request without a host, with an expectation that nobody
  // knows, or by method CONNECT.
  // Cause: Node.js answers these before any route sees them.
  await expectRefused([
    "GET /v1/health HTTP/1.1\r\nconnection: close\r\n\r\n",
    `GET /v1/health HTTP/1.1\r\n${CLOSE}expect: a miracle\r\n\r\n`,
    `CONNECT x:1 HTTP/1.1\r\n${CLOSE}\r\n`,
  ]);
});

test("a path that is no URL is the caller's error, not the daemon's", async () => {
  // Symptom: status 500, code 5004, and an error in the log.
  // Sequence: a request for "//" or for an address that cannot be read.
  // Cause: the parser of URLs throws at it.
  await expectRefused([
    `GET // HTTP/1.1\r\n${CLOSE}\r\n`,
    `GET http://[ HTTP/1.1\r\n${CLOSE}\r\n`,
  ]);
});

/** Each text must be answered by a numbered failure that is the caller's. */
async function expectRefused(texts: readonly string[]): Promise<void> {
  const { port } = site;
  const wrong: string[] = [];
  for (const sent of texts) {
    const answer = await exchangeBytes(port, sent);
    if (!isCallersFailure(answer)) {
      wrong.push(`${JSON.stringify(sent)}: ${JSON.stringify(answer)}`);
    }
    await expectServed(port);
  }
  expect(wrong).toEqual([]);
}

function isCallersFailure(answer: WholeAnswer): boolean {
  if (answer.status < 400 || answer.status > 499) return false;
  const record = JSON.parse(answer.text || "{}") as Partial<FailureRecord>;
  return record.type === "failure" && record.code !== undefined;
}

function post(header: string): string {
  return `POST ${SUBMIT} HTTP/1.1\r\nhost: x\r\n` +
    `authorization: Bearer ${KEYS.small}\r\n${header}\r\n\r\n`;
}
