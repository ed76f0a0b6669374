import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import { expect } from "earl";
import { test } from "node:test";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { createWorld, request, wholeAnswer } from "../support/request_world.ts";

/** So low that this daemon's own share doesn't allow a request yet. */
const LIMIT = 0.2;
const ROUTE = { stages: [], kind: "non_idempotent" } as const;

function limitsOf(...ids: readonly string[]): EndpointLimits {
  const limits = new EndpointLimits();
  for (const id of ids) limits.record({ id, bornAt: 0 }, LIMIT, 0);
  return limits;
}

function placedAt(endpointId: string, limitPerSecond?: number): ChainOutcome {
  return { type: "done", results: [], place: { endpointId, limitPerSecond } };
}

// Guards against using the place of a coordinator that doesn't have the limit.
test("a place that the coordinator chose without the limit is not used", async () => {
  for (const limit of [undefined, LIMIT * 2]) {
    const { service, reply, endpointCalls: calls } = createWorld(
      [() => wholeAnswer(200, "served")],
      {
        route: ROUTE,
        limits: limitsOf("i1"),
        chain: placedAt("i1", limit),
      },
    );
    await service.serve(request(), reply);
    expect(calls.map(({ endpoint }) => endpoint.id).includes("i1"))
      .toEqual(false);
    expect(reply.status).toEqual(200);
  }
});

// Guards against daemons that leave the coordinator's share of a limit unused.
test("a place within the limit is used regardless of this daemon's share", async () => {
  const { service, reply, endpointCalls: calls } = createWorld([
    () => wholeAnswer(200, "served"),
  ], {
    route: ROUTE,
    limits: limitsOf("i1", "i2", "i3"),
    chain: placedAt("i2", LIMIT),
  });
  await service.serve(request(), reply);
  expect(calls.map(({ endpoint }) => endpoint.id)).toEqual(["i2"]);
  expect(reply.status).toEqual(200);
});

// Guards against callers that wait at a limit or are invited back too early.
test("a request over all limits is refused with the coordinator's retry delay", async () => {
  const { service, reply, endpointCalls: calls } = createWorld([], {
    route: ROUTE,
    limits: limitsOf("i1", "i2", "i3"),
    chain: {
      type: "refused",
      reason: "over_limit",
      retryAfterMilliseconds: 1_500,
    },
  });
  await service.serve(request(), reply);
  expect(calls).toEqual([]);
  expect(reply.refusal).toEqual({
    status: 503,
    retryAfterMilliseconds: 1_500,
    message: "over the endpoints' limits",
  });
});
