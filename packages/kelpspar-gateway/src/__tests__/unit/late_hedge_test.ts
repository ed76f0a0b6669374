import type { EndpointAnswer } from "../../requests/endpoint_call.ts";
import type { World } from "../support/request_world.ts";
import { expect } from "earl";
import { afterEach, beforeEach, test } from "node:test";
import { SlackLender } from "../../retries/slack_lender.ts";
import { createWorld, request, wholeAnswer } from "../support/request_world.ts";

const ROUTE = { kind: "idempotent", stages: [] } as const;
const { lend } = SlackLender.prototype;
let grantLoans = (): void => {};

beforeEach(() => {
  const granted = new Promise<void>((resolve) => {
    grantLoans = resolve;
  });
  SlackLender.prototype.lend = async function (
    ...options: Parameters<typeof lend>
  ): ReturnType<typeof lend> {
    await granted;
    return await lend.apply(this, options);
  };
});

afterEach(() => {
  SlackLender.prototype.lend = lend;
});

/** A request whose first answer comes while its hedge waits for a loan. */
async function answerBeforeLoan(): Promise<World> {
  let answer = (): void => {};
  const first = new Promise<EndpointAnswer>((resolve) => {
    answer = () => resolve(wholeAnswer(200, "first"));
  });
  const world = createWorld([() => first, () => wholeAnswer(200, "hedge")], {
    route: ROUTE,
  });
  void world.service.serve(request(), world.reply);
  await world.timer.advance(200);
  answer();
  await world.timer.settle();
  return world;
}

// Guards against answers that are held while a hedge waits for its budget.
test("an answer is forwarded while its hedge waits for a retry", async () => {
  const world = await answerBeforeLoan();
  expect(world.reply.text).toEqual("first");
  grantLoans();
  await world.timer.settle();
});

// Guards against second runs of requests that were answered already.
test("a request isn't hedged once its answer has come", async () => {
  const world = await answerBeforeLoan();
  grantLoans();
  await world.timer.settle();
  expect(world.endpointCalls.length).toEqual(1);
});
