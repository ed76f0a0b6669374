import type { EndpointAnswer } from "../../requests/endpoint_call.ts";
import { expect } from "earl";
import { test } from "node:test";
import {
  createWorld,
  request,
  serve,
  stream,
  whole,
} from "../support/request_world.ts";

const CUT = new Error("connection reset");

test("a stream goes on elsewhere although its stage results were lost", async () => {
  // Symptom: a caller got events 1 to 9 of a stream twice, as one stream.
  // Sequence: the endpoint crashed midway; the next one no longer had the
  // stage results, since they are freed at the first event; the stages were
  // run again and the request was sent again from its first event.
  // Cause: how far the stream had come was forgotten with the second run of
  // the stages.
  const world = createWorld([
    () => stream("id: 1\ndata: a\n\n", CUT),
    () => stream("id: 2\ndata: b\n\n"),
  ]);
  await serve(world);
  expect(world.calls.map((call) => call.lastEventId)).toEqual([undefined, "1"]);
  expect(world.calls.map((call) => call.inputs)).toEqual([["h1"], ["h2"]]);
  expect(world.reply.text).toEqual("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  expect(world.reply.end_).toEqual("ended");
});

test("stages are run again when an endpoint misses their results", async () => {
  const world = createWorld([
    () => ({ type: "not_run", refusal: "input_gone" }),
    () => stream("id: 1\ndata: a\n\n"),
  ]);
  await serve(world);
  expect(world.calls.map((call) => call.inputs)).toEqual([["h1"], ["h2"]]);
  expect(world.reply.end_).toEqual("ended");
});

test("a stream that may not be repeated is broken off when it is cut", async () => {
  const world = createWorld([
    () => stream("id: 1\ndata: a\n\n", CUT),
  ], { route: { isResumable: false } });
  await serve(world);
  expect(world.reply.end_).toEqual("broken");
  expect(world.calls.length).toEqual(1);
});

test("what may have run is never said not to have run", async () => {
  const world = createWorld([
    () => ({ type: "unknown", reason: "reset" }),
  ], { route: { kind: "non_idempotent", stages: [] } });
  await serve(world);
  expect(world.reply.status).toEqual(502);
  expect(world.calls.length).toEqual(1);
});

test("a request that no endpoint took goes to the next one", async () => {
  const world = createWorld([
    () => ({ type: "unreachable", reason: "refused", isRefused: true }),
    () => ({ type: "not_run", refusal: "full" }),
    () => whole(200, "done"),
  ], { route: { kind: "non_idempotent", stages: [], attempts: 1 } });
  await serve(world);
  expect([world.reply.status, world.reply.text]).toEqual([200, "done"]);
  expect(new Set(world.calls.map((call) => call.endpoint.id)).size).toEqual(3);
});

test("when all are full the caller is told so at once, and when to come", async () => {
  const full = (): EndpointAnswer => ({ type: "not_run", refusal: "full" });
  const world = createWorld([full, full, full], {
    route: { kind: "non_idempotent", stages: [] },
  });
  await serve(world);
  expect(world.reply.status).toEqual(503);
  expect((world.reply.refusal?.retryAfterMilliseconds ?? 0) > 0).toEqual(true);
});

test("a repeatable request's failure is mended elsewhere, else passed on", async () => {
  const route = { kind: "idempotent", stages: [] } as const;
  const mended = createWorld(
    [() => whole(500, "no"), () => whole(200, "yes")],
    { route },
  );
  await serve(mended);
  expect(mended.reply.text).toEqual("yes");
  const failed = createWorld(
    [() => whole(500, "no"), () => whole(500, "still no")],
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
  expect(world.calls[0]?.signal.aborted).toEqual(true);
});

test("work ends at once when the caller is gone", async () => {
  const world = createWorld([
    () => new Promise<EndpointAnswer>(() => {}),
  ]);
  void world.service.serve(request(), world.reply);
  await world.timer.settle();
  world.reply.leave();
  await world.timer.settle();
  expect(world.calls[0]?.signal.aborted).toEqual(true);
  expect(world.released).toEqual(["h1"]);
});

test("a refused chain is told with its time to come back, and runs nothing", async () => {
  const world = createWorld([], {
    chain: {
      type: "refused",
      reason: "overloaded",
      retryAfterMilliseconds: 700,
    },
  });
  await serve(world);
  expect(world.reply.refusal?.retryAfterMilliseconds).toEqual(700);
  expect([world.reply.status, world.calls.length]).toEqual([503, 0]);
});

test("keys and routes that don't exist are refused by the book", async () => {
  const unknownKey = createWorld([]);
  await serve(unknownKey, request({ callerKey: "other" }));
  expect(unknownKey.reply.status).toEqual(401);
  const unknownRoute = createWorld([]);
  await serve(unknownRoute, request({ target: "/other/x" }));
  expect(unknownRoute.reply.status).toEqual(404);
});

test("one line tells how each request ended", async () => {
  const world = createWorld([() => stream("id: 1\ndata: a\n\n")]);
  await serve(world);
  const ended = world.lines.filter(({ message }) =>
    message === "request ended"
  );
  expect(ended.length).toEqual(1);
  expect(ended[0]?.fields["attempt"]).toEqual("a1");
  expect(ended[0]?.fields["outcome"]).toEqual("served");
});

test("a daemon that knows no configuration says not run, and when to come", async () => {
  // Symptom: right after all daemons were killed, requests were denied as if
  // their route or key didn't exist, and callers didn't ask again.
  // Sequence: a daemon starts, a caller comes before its first configuration.
  // Cause: without a configuration no route is found.
  const world = createWorld([], { isConfigured: false });
  await world.service.serve(request(), world.reply);
  expect(world.reply.status).toEqual(503);
  expect((world.reply.refusal?.retryAfterMilliseconds ?? 0) > 0)
    .toEqual(true);
  expect(world.calls.length).toEqual(0);
});

test("a request that is open when its daemon ends gets its final answer", async () => {
  // A daemon was told to stop at 9.20 s, with a request open since 8.19 s whose
  // stages were not done; at 16.89 s, 0.3 s before it would have been killed,
  // the process ended and the connection closed with no answer.
  const waiting = createWorld([], { chain: new Promise(() => {}) });
  void waiting.service.serve(request(), waiting.reply);
  await waiting.timer.advance(8_000);
  waiting.service.endOpen();
  expect(waiting.reply.status).toEqual(503);
  const sent = createWorld([() => new Promise(() => {})]);
  void sent.service.serve(request(), sent.reply);
  await sent.timer.advance(8_000);
  sent.service.endOpen();
  await sent.timer.settle();
  expect(sent.reply.status).toEqual(502);
});
