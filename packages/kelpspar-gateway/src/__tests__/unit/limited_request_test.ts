import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import { expect } from "earl";
import { test } from "node:test";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { createWorld, request, whole } from "../support/request_world.ts";

/** So low that this daemon's own share is not due when a request comes. */
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

// Guards against a coordinator that doesn't know of a limit and is obeyed.
test("a place that was given without the limit is not used", async () => {
  for (const limit of [undefined, LIMIT * 2]) {
    const { service, reply, calls } = createWorld(
      [() => whole(200, "served")],
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

// Guards against shares of the coordinator that daemons don't make use of.
test("a place within the limit is used whatever this daemon's share", async () => {
  const { service, reply, calls } = createWorld([() => whole(200, "served")], {
    route: ROUTE,
    limits: limitsOf("i1", "i2", "i3"),
    chain: placedAt("i2", LIMIT),
  });
  await service.serve(request(), reply);
  expect(calls.map(({ endpoint }) => endpoint.id)).toEqual(["i2"]);
  expect(reply.status).toEqual(200);
});

// Guards against callers who wait, or are sent back too early, over a limit.
test("a request over all limits is refused with the coordinator's wait", async () => {
  const { service, reply, calls } = createWorld([], {
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
