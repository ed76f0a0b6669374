import type { EndpointAnswer } from "../../requests/endpoint_call.ts";
import type { ScriptedAnswer } from "../support/request_world.ts";
import { expect } from "earl";
import { Readable } from "node:stream";
import { test } from "node:test";
import {
  createWorld,
  request,
  serve,
  stream,
  wholeAnswer,
} from "../support/request_world.ts";

const CUT = new Error("connection reset");

test("a stream resumes elsewhere although its stage results were lost", async () => {
  // Guards against a caller that gets the first events of a stream twice. An
  // endpoint crashed midway, and the next one found no stage results, since they
  // are freed at the first event. The stages were run again, which reset the
  // stream's position, so that the stream restarted at its first event.
  const world = createWorld([
    () => stream("id: 1\ndata: a\n\n", CUT),
    () => stream("id: 2\ndata: b\n\n"),
  ]);
  await serve(world);
  expect(world.endpointCalls.map((call) => call.lastEventId)).toEqual([
    undefined,
    "1",
  ]);
  expect(world.endpointCalls.map((call) => call.inputs)).toEqual([["h1"], [
    "h2",
  ]]);
  expect(world.reply.text).toEqual("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  expect(world.reply.endState).toEqual("ended");
});

test("stages run again when an endpoint lacks their results", async () => {
  const world = createWorld([
    () => ({ type: "not_run", refusal: "input_gone" }),
    () => stream("id: 1\ndata: a\n\n"),
  ]);
  await serve(world);
  expect(world.endpointCalls.map((call) => call.inputs)).toEqual([["h1"], [
    "h2",
  ]]);
  expect(world.reply.endState).toEqual("ended");
});

test("a stream that isn't resumable is aborted when it is cut", async () => {
  const world = createWorld([
    () => stream("id: 1\ndata: a\n\n", CUT),
  ], { route: { isResumable: false } });
  await serve(world);
  expect(world.reply.endState).toEqual("broken");
  expect(world.endpointCalls.length).toEqual(1);
});

test("a request that may have run is never answered as not run", async () => {
  const world = createWorld([
    () => ({ type: "unknown", reason: "reset" }),
  ], { route: { kind: "non_idempotent", stages: [] } });
  await serve(world);
  expect(world.reply.status).toEqual(502);
  expect(world.endpointCalls.length).toEqual(1);
});

test("a request that an endpoint didn't run is sent to the next one", async () => {
  const world = createWorld([
    () => ({ type: "unreachable", reason: "refused", isRefused: true }),
    () => ({ type: "not_run", refusal: "full" }),
    () => wholeAnswer(200, "done"),
  ], { route: { kind: "non_idempotent", stages: [], attempts: 1 } });
  await serve(world);
  expect([world.reply.status, world.reply.text]).toEqual([200, "done"]);
  expect(new Set(world.endpointCalls.map((call) => call.endpoint.id)).size)
    .toEqual(3);
});

// Guards against answers lost for want of a retry that no endpoint has seen.
test("a retry whose connection is refused is spent at the next endpoint", async () => {
  const world = createWorld([
    () => ({ type: "not_run", refusal: "full" }),
    () => ({ type: "unreachable", reason: "refused", isRefused: true }),
    () => wholeAnswer(200, "done"),
  ], {
    route: { kind: "non_idempotent", stages: [], attempts: 1 },
    // Lends one retry.
    slack: 3,
  });
  await serve(world);
  expect([world.reply.status, world.reply.text]).toEqual([200, "done"]);
});

test("a request is refused at once with a retry delay when all endpoints are full", async () => {
  const full = (): EndpointAnswer => ({ type: "not_run", refusal: "full" });
  const world = createWorld([full, full, full], {
    route: { kind: "non_idempotent", stages: [] },
  });
  await serve(world);
  expect(world.reply.status).toEqual(503);
  expect((world.reply.refusal?.retryAfterMilliseconds ?? 0) > 0).toEqual(true);
});

test("a failed repeatable request is retried, and its last error answer returned", async () => {
  const route = { kind: "idempotent", stages: [] } as const;
  const retried = createWorld(
    [() => wholeAnswer(500, "no"), () => wholeAnswer(200, "yes")],
    { route },
  );
  await serve(retried);
  expect(retried.reply.text).toEqual("yes");
  const failed = createWorld(
    [() => wholeAnswer(500, "no"), () => wholeAnswer(500, "still no")],
    { route },
  );
  await serve(failed);
  expect([failed.reply.status, failed.reply.text]).toEqual([500, "still no"]);
});

test("a request gets its final answer at its route's timeout", async () => {
  const world = createWorld([
    () => new Promise<EndpointAnswer>(() => {}),
  ], {
    route: { kind: "non_idempotent", stages: [], timeoutMilliseconds: 800 },
  });
  void world.service.serve(request(), world.reply);
  await world.timer.advance(799);
  expect(world.reply.status).toEqual(undefined);
  await world.timer.advance(1);
  expect(world.reply.status).toEqual(504);
  expect(world.endpointCalls[0]?.signal.aborted).toEqual(true);
});

test("work stops at once when the caller disconnects", async () => {
  const world = createWorld([
    () => new Promise<EndpointAnswer>(() => {}),
  ]);
  void world.service.serve(request(), world.reply);
  await world.timer.settle();
  world.reply.disconnect();
  await world.timer.settle();
  expect(world.endpointCalls[0]?.signal.aborted).toEqual(true);
  expect(world.releasedHandles).toEqual(["h1"]);
});

// Guards against listeners that pile up on the request with each retry, and
// against aborts of calls that ended long ago.
test("the end of a request aborts only calls that are still running", async () => {
  const world = createWorld([
    () => wholeAnswer(500, "no"),
    () => new Promise<EndpointAnswer>(() => {}),
  ], { route: { kind: "idempotent", stages: [] } });
  void world.service.serve(request(), world.reply);
  await world.timer.settle();
  world.reply.disconnect();
  await world.timer.settle();
  expect(world.endpointCalls.map(({ signal }) => signal.aborted)).toEqual([
    false,
    true,
  ]);
});

test("a refused chain is answered with its retry delay, and nothing is sent", async () => {
  const world = createWorld([], {
    chain: {
      type: "refused",
      reason: "overloaded",
      retryAfterMilliseconds: 700,
    },
  });
  await serve(world);
  expect(world.reply.refusal?.retryAfterMilliseconds).toEqual(700);
  expect([world.reply.status, world.endpointCalls.length]).toEqual([503, 0]);
});

test("unknown keys and routes are refused with their status", async () => {
  const unknownKey = createWorld([]);
  await serve(unknownKey, request({ callerKey: "other" }));
  expect(unknownKey.reply.status).toEqual(401);
  const unknownRoute = createWorld([]);
  await serve(unknownRoute, request({ target: "/other/x" }));
  expect(unknownRoute.reply.status).toEqual(404);
});

test("the outcome of each request is logged once", async () => {
  const world = createWorld([() => stream("id: 1\ndata: a\n\n")]);
  await serve(world);
  const endLines = world.logLines.filter(({ message }) =>
    message === "request ended"
  );
  expect(endLines.length).toEqual(1);
  expect(endLines[0]?.fields["attempt"]).toEqual("a1");
  expect(endLines[0]?.fields["outcome"]).toEqual("served");
});

test("a daemon without a configuration refuses requests with a retry delay", async () => {
  // Guards against permanent refusals at startup. Without a configuration no
  // route is found: requests that arrived before the first configuration were
  // refused as if their route or key didn't exist, and callers didn't retry.
  const world = createWorld([], { isConfigured: false });
  await world.service.serve(request(), world.reply);
  expect(world.reply.status).toEqual(503);
  expect((world.reply.refusal?.retryAfterMilliseconds ?? 0) > 0)
    .toEqual(true);
  expect(world.endpointCalls.length).toEqual(0);
});

test("a request that is open at shutdown gets a final answer", async () => {
  // Guards against connections that close without an answer at shutdown. A
  // request whose stages weren't done was open when its daemon began to stop.
  // 7.7 s later, 0.3 s before it would have been killed, the process exited
  // without answering it.
  const waiting = createWorld([], { chain: new Promise(() => {}) });
  void waiting.service.serve(request(), waiting.reply);
  await waiting.timer.advance(8_000);
  waiting.service.failOpenRequests();
  expect(waiting.reply.status).toEqual(503);
  // A stream whose answer is late is sent to a second endpoint too.
  const sent = createWorld([pending, pending]);
  void sent.service.serve(request(), sent.reply);
  await sent.timer.advance(8_000);
  sent.service.failOpenRequests();
  await sent.timer.settle();
  expect(sent.reply.status).toEqual(502);
});

// Guards against connections that stay open, and requests that count as open at
// a shutdown, until an endpoint completes an answer that nobody reads.
test("an answer whose body stalls is closed when its request ends", async () => {
  const body = new Readable({ read: () => {} });
  const world = createWorld([
    () => ({
      type: "answered",
      status: 200,
      headers: [],
      framing: "close_delimited",
      body,
      close: () => void body.destroy(),
    }),
  ], { route: { kind: "non_idempotent", stages: [] } });
  void world.service.serve(request(), world.reply);
  await world.timer.advance(10_000);
  expect([world.reply.status, body.destroyed]).toEqual([504, true]);
  expect(world.service.open).toEqual(0);
  const messages = world.logLines.map(({ message }) => message);
  expect(messages.includes("endpoint call failed")).toEqual(false);
});

const ONCE_ROUTES = {
  "a request that runs once": { kind: "non_idempotent", stages: [] },
  "a stream that can't resume": {
    kind: "stream",
    isResumable: false,
    stages: [],
  },
} as const;

const refused: ScriptedAnswer = () => ({
  type: "unreachable",
  reason: "refused",
  isRefused: true,
});
const silent: ScriptedAnswer = () => ({
  type: "unreachable",
  reason: "no connection in time",
  isRefused: false,
});
const full: ScriptedAnswer = () => ({ type: "not_run", refusal: "full" });
const rejected: ScriptedAnswer = () => ({
  type: "not_run",
  refusal: "rejected",
});
const unsendable: ScriptedAnswer = () => ({
  type: "not_run",
  refusal: "unsendable",
});
const unknown: ScriptedAnswer = () => ({ type: "unknown", reason: "reset" });
const pending: ScriptedAnswer = () => new Promise(() => {});
const thrown: ScriptedAnswer = () => Promise.reject(new Error("unexpected"));
const cut = (status: number): ScriptedAnswer => () => {
  const answer = stream("part", CUT);
  return answer.type === "answered" ? { ...answer, status } : answer;
};
const whole = (status: number): ScriptedAnswer => () =>
  wholeAnswer(status, "x");

/** How a request ends: `its answer`, or first its timeout or a shutdown. */
type End = "its answer" | "its timeout" | "shutdown";

/** What endpoints answer, how the request ends, and the caller's status. */
const ONCE_CASES: readonly [
  name: string,
  script: readonly ScriptedAnswer[],
  end: End,
  status: number,
][] = [
  ["no endpoint is reached", [refused, silent, refused], "its answer", 503],
  ["all endpoints are full", [full, full, full], "its answer", 503],
  ["an endpoint rejects it", [rejected], "its answer", 503],
  ["it can't be sent", [unsendable], "its answer", 503],
  ["its answer is lost", [unknown], "its answer", 502],
  ["others didn't run it", [refused, full, unknown], "its answer", 502],
  ["the client fails", [thrown], "its answer", 502],
  ["its answer is cut", [cut(500)], "its answer", 502],
  ["a 503 is cut", [cut(503)], "its answer", 502],
  ["it ran and failed", [whole(500)], "its answer", 500],
  ["it ran and was not found", [whole(404)], "its answer", 404],
  ["it ran and answered 408", [whole(408)], "its answer", 502],
  ["it ran and answered 421", [whole(421)], "its answer", 502],
  ["it ran and answered 429", [whole(429)], "its answer", 502],
  ["it ran and answered 503", [full, whole(503)], "its answer", 502],
  ["it runs until the timeout", [pending], "its timeout", 504],
  ["it runs elsewhere until the timeout", [full, pending], "its timeout", 504],
  ["it runs at the shutdown", [pending], "shutdown", 502],
  ["it runs elsewhere at the shutdown", [refused, pending], "shutdown", 502],
];

// Guards against a caller that sends a request again because 429, 503, 408 or
// 421 told it that the request was never executed.
for (const [kind, route] of Object.entries(ONCE_ROUTES)) {
  for (const [name, script, end, status] of ONCE_CASES) {
    test(`${kind} is answered truthfully when ${name}`, async () => {
      const world = createWorld(script, { route });
      void world.service.serve(request(), world.reply);
      await world.timer.settle();
      if (end === "its timeout") await world.timer.advance(10_000);
      if (end === "shutdown") world.service.failOpenRequests();
      expect(world.reply.status).toEqual(status);
      expect(world.endpointCalls.length).toEqual(script.length);
    });
  }
}
