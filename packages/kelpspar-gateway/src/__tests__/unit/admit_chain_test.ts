import type { ChainAdmission } from "../../pieces/admit_chain.ts";
import { expect } from "earl";
import { test } from "node:test";
import { admitChain, expectedTime } from "../../pieces/admit_chain.ts";

const CHAIN = [
  { backlog: 0, work: 170, after: [] },
  { backlog: 0, work: 260, after: [0] },
  { backlog: 0, work: 250, after: [1] },
];

function admit(options: {
  readonly backlog?: number;
  readonly objective?: number;
  readonly priority?: number;
}): ChainAdmission {
  return admitChain({
    stages: CHAIN.map((stage, number) =>
      number === 1 ? { ...stage, backlog: options.backlog ?? 0 } : stage
    ),
    tail: 300,
    objective: options.objective ?? 1_900,
    remaining: 10_000,
    priority: options.priority ?? 0,
  });
}

test("stages that follow each other add up, others run side by side", () => {
  expect(expectedTime({ stages: CHAIN, tail: 300 })).toEqual(980);
  const beside = [...CHAIN, { backlog: 0, work: 400, after: [] }];
  expect(expectedTime({ stages: beside, tail: 300 })).toEqual(980);
});

test("work before a later stage drains while earlier stages run", () => {
  expect(admit({ backlog: 170 })).toEqual({ type: "admitted", expected: 980 });
});

test("a chain that would be late is refused at its arrival", () => {
  // Symptom: in a burst of 2.4 times the load everything was late.
  // Sequence: all chains were queued, the queue reached two seconds, and each
  // chain was served after its objective.
  // Cause: nothing compared the queue with what the objective leaves.
  const refused = admit({ backlog: 2_500 });
  expect(refused.type).toEqual("refused");
});

test("the less urgent goes first when there is no room for both", () => {
  const urgent = admit({ backlog: 1_000, priority: 0 });
  const otherAccount = admit({ backlog: 1_000, priority: 3 });
  const otherRoute = admit({ backlog: 1_000, priority: 0.1 });
  expect([urgent.type, otherAccount.type, otherRoute.type])
    .toEqual(["admitted", "refused", "refused"]);
});

test("a long chain of little urgency is served while nothing waits", () => {
  // Symptom: a kind whose stages take most of its objective was always refused.
  // Sequence: its route had a low priority, which left two fifths of the
  // objective; its calls alone took more than that.
  // Cause: what may not be waited was taken from the work as well.
  expect(admit({ objective: 1_300, priority: 1.9 }).type).toEqual("admitted");
});

test("what is late already is served while the queue is short", () => {
  expect(admit({ objective: -200 }).type).toEqual("admitted");
  expect(admit({ objective: -200, backlog: 6_000 }).type).toEqual("refused");
});

test("who comes back finds the queue worked off, within bounds", () => {
  const soon = admit({ backlog: 1_300 });
  const late = admit({ backlog: 60_000 });
  expect(soon.type === "refused" && soon.retryAfterMilliseconds < 500)
    .toEqual(true);
  expect(late.type === "refused" && late.retryAfterMilliseconds).toEqual(4_000);
});
