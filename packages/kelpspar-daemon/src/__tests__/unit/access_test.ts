import type { FailureRecord, ResultName } from "kelpspar-shared";
import type { FakeCall } from "../support/fake_endpoints.ts";
import type { HttpAnswer, SentRequest } from "../support/http_exchange.ts";
import type { TestDaemon } from "../support/test_daemon.ts";
import { expect } from "earl";
import { after, before, test } from "node:test";
import { exchange, openExchange } from "../support/http_exchange.ts";
import {
  expectFailure,
  expectServed,
  readRecords,
  startTestDaemon,
  waitUntil,
} from "../support/test_daemon.ts";
import {
  createConfiguration,
  KEYS,
  PEER_SECRET,
} from "../support/test_site.ts";

const SECRET_HEADER = "x-kelpspar-peer-secret";
const INQUIRY = {
  accountId: "small",
  idempotencyKey: "k",
  operationId: "o",
};

let site: TestDaemon;

before(async () => {
  site = await startTestDaemon();
});

after(() => site.daemon.stop());

test("a request of one client account is not visible to another", async () => {
  const { port, ports } = site;
  const calls: FakeCall[] = [];
  const { onCall } = ports.endpoints;
  ports.endpoints.onCall = (call) => calls.push(call);
  const answer = await openExchange({
    port,
    path: "/v1/requests",
    key: KEYS.small,
    body: {
      pipeline: "echo",
      input: "secret",
      deadlineMilliseconds: 60_000,
      idempotencyKey: "k",
    },
  });
  await waitUntil(() => calls.length === 1);
  const [call] = calls;
  const id = call?.call.requestId ?? "";
  const foreign: Omit<SentRequest, "port">[] = [
    { path: `/v1/requests/${id}/stream` },
    { path: `/v1/requests/${id}`, method: "DELETE" },
    { path: "/v1/requests/by-key/k" },
  ];
  for (const request of foreign) {
    const refused = await exchange({ ...request, port, key: KEYS.large });
    const record = expectFailure(refused, "request_not_found");
    expect(record.requestId).toEqual(undefined);
  }
  ports.endpoints.onCall = onCall;
  call?.answer("whole");
  let text = "";
  for await (const piece of answer) text += String(piece);
  expect(readRecords(text).map(({ type }) => type))
    .toEqual(["accepted", "chunk", "end"]);
  const late = { port, path: "/v1/requests/by-key/k", key: KEYS.large };
  expectFailure(await exchange(late), "request_not_found");
});

test("an operator's key permits only what its role allows", async () => {
  const { port } = site;
  const change = {
    configuration: createConfiguration(),
    expectedRevision: 7,
    changeId: "c",
  };
  const drain = { kind: "endpoint", id: "none" };
  const reads = ["status", "accounts", "endpoints", "histograms"].map((
    name,
  ) => ({ path: `/v1/operator/${name}` }));
  const commands: readonly (readonly [
    Omit<SentRequest, "port">,
    Readonly<Record<"viewer" | "operator" | "administrator", ResultName>>,
  ])[] = [
    ...reads.map((read) =>
      [read, { viewer: "ok", operator: "ok", administrator: "ok" }] as const
    ),
    [{ path: "/v1/operator/drains", body: drain }, {
      viewer: "operator_role",
      operator: "malformed_request",
      administrator: "malformed_request",
    }],
    [{ path: "/v1/operator/drains/endpoint/none", method: "DELETE" }, {
      viewer: "operator_role",
      operator: "ok",
      administrator: "ok",
    }],
    [{ path: "/v1/operator/configuration", body: change }, {
      viewer: "operator_role",
      operator: "operator_role",
      administrator: "revision_conflict",
    }],
  ];
  for (const [command, results] of commands) {
    for (const role of ["viewer", "operator", "administrator"] as const) {
      const answer = await exchange({ ...command, port, key: KEYS[role] });
      if (results[role] === "ok") expect(answer.status).toEqual(200);
      else expectFailure(answer, results[role]);
    }
  }
});

test("the peer API rejects calls without the secret", async () => {
  const calls: Omit<SentRequest, "port">[] = [
    { path: "/peer/configuration" },
    {
      path: `/peer/askClaim?input=${
        encodeURIComponent(JSON.stringify(INQUIRY))
      }`,
    },
    { path: "/peer/exchange", body: {} },
    { path: "/peer/configuration,configuration?batch=1&input=%7B%7D" },
  ];
  const secrets = [
    undefined,
    "",
    "wrong",
    `${PEER_SECRET}x`,
    KEYS.administrator,
  ];
  for (const call of calls) {
    for (const secret of secrets) {
      expect((await callPeer(call, secret)).status).toEqual(401);
    }
  }
  const served = await callPeer({ path: "/peer/configuration" }, PEER_SECRET);
  expect(served.status).toEqual(200);
  expect(served.text.includes('"revision":1')).toEqual(true);
  await expectServed(site.port);
});

test("a rejected peer call reveals no daemon internals", async () => {
  // Failure: a peer call without the secret reveals the program's file paths,
  // because the library includes stack traces in errors by default.
  const { text } = await callPeer({ path: "/peer/configuration" }, undefined);
  expect(text.includes("node_modules") || text.includes(".ts:")).toEqual(false);
});

test("a path that only shares a prefix with the peer API is an unknown path", async () => {
  const { port } = site;
  for (const path of ["/peerless", "/peer-report/x"]) {
    const answer = await exchange({ port, path });
    const record = JSON.parse(answer.text) as Partial<FailureRecord>;
    expect(record.result).toEqual("unknown_path");
  }
});

function callPeer(
  call: Omit<SentRequest, "port">,
  secret: string | undefined,
): Promise<HttpAnswer> {
  return exchange({
    ...call,
    port: site.port,
    headers: {
      "content-type": "application/json",
      ...(secret === undefined ? {} : { [SECRET_HEADER]: secret }),
    },
  });
}
