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
  whole,
} from "../support/request_world.ts";

const CUT = new Error("connection reset");
const FINGERPRINT = requestFingerprint({ caller: "acme", ...request() });

/** Reports three crashes of the request, as other daemons would. */
function quarantine(world: World): void {
  for (const crash of ["1", "2", "3"]) {
    world.quarantine.reportCrash({
      fingerprint: FINGERPRINT,
      crash,
      ranMilliseconds: 90,
    });
  }
}

// Guards against stages that are made for a request that won't be sent.
test("a quarantined request fails before its stages are made", async () => {
  const world = createWorld([]);
  quarantine(world);
  await serve(world);
  expect(world.chainsRun()).toEqual(0);
  expect(world.reply.refusal?.status).toEqual(502);
  expect(world.reply.refusal?.retryAfterMilliseconds).toEqual(undefined);
});

// Guards against a verdict that comes while the stages run.
test("a request that is quarantined meanwhile isn't sent, and frees its results", async () => {
  let settleChain = (_: ChainOutcome): void => {};
  const chain = new Promise<ChainOutcome>((resolve) => {
    settleChain = resolve;
  });
  const world = createWorld([], { chain });
  const served = world.service.serve(request(), world.reply);
  await world.timer.settle();
  quarantine(world);
  settleChain({
    type: "done",
    results: [{
      handle: "h1",
      makerId: "m",
      makerAddress: "10.0.1.1:80",
      makerZone: "a",
    }],
  });
  await served;
  expect(world.calls.length).toEqual(0);
  expect(world.released).toEqual(["h1"]);
  expect(world.reply.refusal?.status).toEqual(502);
});

// Guards against a stream that crashes one endpoint after the other by itself.
test("a crash under a request is reported once nothing listens any more", async () => {
  const world = createWorld(
    [() => stream(CUT), () => stream(CUT)],
    { check: ({ id }) => id === "i1" ? "listening" : "refused" },
  );
  await serve(world);
  await world.timer.settle();
  const crashed = world.calls.filter(({ endpoint }) => endpoint.id !== "i1");
  expect(world.quarantine.page(FINGERPRINT).reports.length)
    .toEqual(crashed.length);
});

// Guards against a second copy that is sent although the first is known.
test("a quarantined request isn't hedged", async () => {
  const world = createWorld(
    [() => new Promise(() => {}), () => whole(200, "b")],
    { route: { kind: "idempotent", stages: [] } },
  );
  void world.service.serve(request(), world.reply);
  await world.timer.settle();
  expect(world.calls.length).toEqual(1);
  quarantine(world);
  await world.timer.advance(5_000);
  expect(world.calls.length).toEqual(1);
});

// Guards against a request that is held although it is served.
test("a request that was served is not held for later crashes", async () => {
  const world = createWorld([() => stream("id: 1\ndata: a\n\n")]);
  await serve(world);
  quarantine(world);
  expect(world.quarantine.has(FINGERPRINT)).toEqual(false);
});
