import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import { expect } from "earl";
import { test } from "node:test";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { createWorld, request, wholeAnswer } from "../support/request_world.ts";

/** So low that this daemon's own share doesn't allow a request yet. */
const LIMIT = 0.2;

function placedAt(endpointId: string): ChainOutcome {
  const place = { endpointId, limitPerSecond: LIMIT };
  return { type: "done", results: [], place };
}

// Guards against retries that crash one more endpoint, since their part became
// suspect while they waited for a place.
test("a request isn't sent again if its part became suspect while it waited", async () => {
  const limits = new EndpointLimits();
  for (const id of ["i1", "i2", "i3"]) {
    limits.record({ id, bornAt: 0 }, LIMIT, 0);
  }
  let place = (): void => {};
  const again = new Promise<ChainOutcome>((resolve) => {
    place = () => resolve(placedAt("i2"));
  });
  const chains = [placedAt("i1"), again];
  const world = createWorld([
    () => ({ type: "unknown", reason: "cut" }),
    () => wholeAnswer(200, "served"),
  ], {
    route: { kind: "idempotent", stages: [] },
    limits,
    get chain() {
      return chains.shift() ?? placedAt("i3");
    },
  });
  const prompted = request({
    promptParts: ["p", "own"].map((id) => ({ id, tokens: 100 })),
  });
  const served = world.service.serve(prompted, world.reply);
  await world.timer.settle();
  expect(world.endpointCalls.length).toEqual(1);
  for (const crash of ["c1", "c2"]) {
    world.quarantine.reportCrash({
      fingerprint: `other ${crash}`,
      crash,
      ranMilliseconds: 50,
      wroteMilliseconds: 50,
      parts: ["p"],
      software: "model ",
    });
    await world.timer.advance(500);
  }
  expect(world.quarantine.isSuspect({ fingerprint: "", parts: ["p"] }))
    .toEqual(true);
  place();
  await world.timer.settle();
  expect(world.endpointCalls.length).toEqual(1);
  await served;
});
