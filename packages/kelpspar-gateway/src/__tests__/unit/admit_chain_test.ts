import type { ChainAdmission } from "../../pieces/admit_chain.ts";
import { expect } from "earl";
import { test } from "node:test";
import { admitChain, expectedTime } from "../../pieces/admit_chain.ts";

const CHAIN = [
  { backlog: 0, work: 170, after: [], turn: 140 },
  { backlog: 0, work: 260, after: [0], turn: 140 },
  { backlog: 0, work: 250, after: [1], turn: 140 },
];

function admit(options: {
  readonly backlog?: number;
  readonly objective?: number;
  readonly priority?: number;
  readonly turn?: number;
  readonly isUnderserved?: boolean;
  readonly loopDelay?: number;
}): ChainAdmission {
  return admitChain({
    stages: CHAIN.map((stage, number) => ({
      ...stage,
      backlog: number === 1 ? options.backlog ?? 0 : 0,
      turn: options.turn ?? stage.turn,
    })),
    tail: 300,
    objective: options.objective ?? 1_900,
    remaining: 10_000,
    isUnderserved: options.isUnderserved ?? false,
    loopDelay: options.loopDelay ?? 0,
    priority: options.priority ?? 0,
  });
}

test("sequential stages add up, others run in parallel", () => {
  expect(expectedTime({ stages: CHAIN, tail: 300 })).toEqual(980);
  const withParallel = [...CHAIN, {
    backlog: 0,
    work: 400,
    after: [],
    turn: 140,
  }];
  expect(expectedTime({ stages: withParallel, tail: 300 })).toEqual(980);
});

test("the backlog of a later stage drains while earlier stages run", () => {
  expect(admit({ backlog: 170 })).toEqual({
    type: "admitted",
    expected: 980,
    limit: { milliseconds: 1_900, cause: "objective" },
  });
});

test("a chain that would be late is refused on arrival", () => {
  // Guards against queueing every chain without comparing the backlog with the
  // objective: in a burst of 2.4 times the load, the queue reaches two seconds
  // and every chain is served after its objective.
  const refused = admit({ backlog: 2_500 });
  expect(refused.type).toEqual("refused");
});

test("less urgent chains are refused first when there is no capacity for all", () => {
  const urgent = admit({ backlog: 1_000, priority: 0 });
  const otherAccount = admit({ backlog: 1_000, priority: 3 });
  const otherRoute = admit({ backlog: 1_000, priority: 0.1 });
  expect([urgent.type, otherAccount.type, otherRoute.type])
    .toEqual(["admitted", "refused", "refused"]);
});

test("an underserved class leaves little of the wait if endpoints are many", () => {
  // Guards against refusing two fifths of the least urgent class at ten
  // endpoints per stage while those admitted are on time.
  const chain = { backlog: 900, priority: 0.2, isUnderserved: true };
  const few = admit({ ...chain, turn: 140 });
  const many = admit({ ...chain, turn: 25 });
  const served = admit({ ...chain, turn: 25, isUnderserved: false });
  expect([few.type, many.type, served.type])
    .toEqual(["refused", "admitted", "refused"]);
});

test("a long chain of low priority is admitted while queues are empty", () => {
  // Guards against applying the priority share to the work as well as the wait:
  // a low route priority leaves two fifths of the objective, and a kind whose
  // calls alone take longer is always refused.
  expect(admit({ objective: 1_300, priority: 1.9 }).type).toEqual("admitted");
});

test("a chain that is already late is admitted while the queue is short", () => {
  expect(admit({ objective: -200 }).type).toEqual("admitted");
  expect(admit({ objective: -200, backlog: 6_000 }).type).toEqual("refused");
});

test("the retry delay covers the backlog, within bounds", () => {
  const soon = admit({ backlog: 1_300 });
  const late = admit({ backlog: 60_000 });
  expect(soon.type === "refused" && soon.retryAfterMilliseconds < 500)
    .toEqual(true);
  expect(late.type === "refused" && late.retryAfterMilliseconds).toEqual(4_000);
});

// Guards against admitting chains that reach a busy coordinator too late.
test("the delay of the coordinator counts for each event of a chain", () => {
  const inTime = admit({ objective: 1_500, loopDelay: 100 });
  expect([inTime.type, inTime.expected]).toEqual(["admitted", 1_480]);
  expect(admit({ objective: 1_500, loopDelay: 110 }).type).toEqual("refused");
});

// Guards against late work that takes a busy coordinator's processor time.
test("a chain that is already late is refused while the coordinator is busy", () => {
  const refused = admit({ objective: -200, loopDelay: 60 });
  expect([refused.type, refused.limit.cause]).toEqual([
    "refused",
    "loop_delay",
  ]);
});
