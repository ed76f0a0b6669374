import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type { World } from "../support/request_world.ts";
import { expect } from "earl";
import { test } from "node:test";
import { requestFingerprint } from "../../quarantine/request_fingerprint.ts";
import {
  createWorld,
  request,
  serve,
  stream,
  wholeAnswer,
} from "../support/request_world.ts";

const CUT = new Error("connection reset");
const FINGERPRINT = requestFingerprint({ caller: "acme", ...request() });

/** Records three crashes of the request, as reported by other daemons. */
function quarantine(world: World): void {
  for (const crash of ["1", "2", "3"]) {
    world.quarantine.reportCrash({
      fingerprint: FINGERPRINT,
      crash,
      ranMilliseconds: 90,
    });
  }
}

// Guards against running stages for a request that won't be sent.
test("a quarantined request fails before its stages run", async () => {
  const world = createWorld([]);
  quarantine(world);
  await serve(world);
  expect(world.chainRunCount()).toEqual(0);
  expect(world.reply.refusal?.status).toEqual(502);
  expect(world.reply.refusal?.retryAfterMilliseconds).toEqual(undefined);
});

// Guards against ignoring a quarantine that begins while the stages run.
test("a request quarantined during its stages isn't sent, and frees its results", async () => {
  let resolveChain = (_: ChainOutcome): void => {};
  const chain = new Promise<ChainOutcome>((resolve) => {
    resolveChain = resolve;
  });
  const world = createWorld([], { chain });
  const served = world.service.serve(request(), world.reply);
  await world.timer.settle();
  quarantine(world);
  resolveChain({
    type: "done",
    results: [{
      handle: "h1",
      makerId: "m",
      makerAddress: "10.0.1.1:80",
      makerZone: "a",
    }],
  });
  await served;
  expect(world.endpointCalls.length).toEqual(0);
  expect(world.releasedHandles).toEqual(["h1"]);
  expect(world.reply.refusal?.status).toEqual(502);
});

// Guards against a single stream that crashes one endpoint after another.
test("a crash is reported once the endpoint refuses connections", async () => {
  const world = createWorld(
    [() => stream(CUT), () => stream(CUT)],
    { check: ({ id }) => id === "i1" ? "listening" : "refused" },
  );
  await serve(world);
  await world.timer.settle();
  const crashed = world.endpointCalls.filter(({ endpoint }) =>
    endpoint.id !== "i1"
  );
  expect(world.quarantine.page(FINGERPRINT).reports.length)
    .toEqual(crashed.length);
});

// Guards against hedging a request after it was quarantined.
test("a quarantined request isn't hedged", async () => {
  const world = createWorld(
    [() => new Promise(() => {}), () => wholeAnswer(200, "b")],
    { route: { kind: "idempotent", stages: [] } },
  );
  void world.service.serve(request(), world.reply);
  await world.timer.settle();
  expect(world.endpointCalls.length).toEqual(1);
  quarantine(world);
  await world.timer.advance(5_000);
  expect(world.endpointCalls.length).toEqual(1);
});

// Guards against quarantining a request that can be served.
test("a request that was served isn't quarantined for later crashes", async () => {
  const world = createWorld([() => stream("id: 1\ndata: a\n\n")]);
  await serve(world);
  quarantine(world);
  expect(world.quarantine.has(FINGERPRINT)).toEqual(false);
});
