import { expect } from "earl";
import { test } from "node:test";
import { PausingEndpoint } from "../support/pausing_endpoint.ts";
import { createWorld, request, wholeAnswer } from "../support/request_world.ts";

// Guards against answers that are given up for a hedge that turns out not to be
// whole.
test("a request whose hedge is cut gets the answer of its first endpoint", async () => {
  const hedge = new PausingEndpoint();
  let answer = (): void => {};
  const world = createWorld([
    () =>
      new Promise((resolve) => {
        answer = () => resolve(wholeAnswer(200, "first"));
      }),
    hedge.answer,
  ], { route: { kind: "idempotent", isResumable: false, stages: [] } });
  const served = world.service.serve(request(), world.reply);
  await world.timer.advance(1_000);
  expect(world.endpointCalls.length).toEqual(2);
  hedge.write("a part");
  await world.timer.advance(100);
  hedge.breakOff();
  await world.timer.advance(100);
  answer();
  await world.timer.advance(100);
  await served;
  expect([world.reply.status, world.reply.text]).toEqual([200, "first"]);
});
