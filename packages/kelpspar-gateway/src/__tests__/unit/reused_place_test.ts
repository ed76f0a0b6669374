import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import { expect } from "earl";
import { test } from "node:test";
import { createWorld, request, wholeAnswer } from "../support/request_world.ts";

const PLACED: ChainOutcome = {
  type: "done",
  results: [],
  place: { endpointId: "i1" },
};

// Guards against requests that run at another service, whose endpoint uses the
// id of the one that the coordinator chose.
test("a place isn't used after its endpoint has moved to another service", async () => {
  let endStages = (): void => {};
  const chain = new Promise<ChainOutcome>((resolve) => {
    endStages = () => resolve(PLACED);
  });
  const world = createWorld([() => wholeAnswer(200, "served")], {
    route: { kind: "non_idempotent" },
    chain,
  });
  const served = world.service.serve(request(), world.reply);
  await world.timer.settle();
  world.registry.upsert({
    id: "i1",
    bornAt: 1,
    service: "other",
    address: "10.0.0.1:80",
    zone: "a",
    version: undefined,
    slots: 4,
    isDraining: false,
  }, 0);
  endStages();
  await world.timer.settle();
  await served;
  const services = world.endpointCalls.map(({ endpoint }) => endpoint.service);
  expect(services).toEqual(["model"]);
});
