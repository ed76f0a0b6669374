import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { AnswerTimes } from "../../lifecycle/answer_times.ts";

function boundOf(milliseconds: readonly number[]): number | undefined {
  const times = new AnswerTimes();
  for (const answer of milliseconds) times.record("r", answer);
  return times.bound("r");
}

// Guards against a stopping daemon that trusts a single short answer.
test("the times of a route with few answers are unknown", () => {
  expect(boundOf([])).toEqual(undefined);
  expect(boundOf([10, 20, 30])).toEqual(undefined);
  expect(boundOf([10, 20, 30, 40]) === undefined).toEqual(false);
});

// Guards against refusing answers of even length long before they can't end.
test("the bound of even answers is close to their length", () => {
  const bound = boundOf(Array.from({ length: 50 }, () => 6_000)) ?? 0;
  expect(bound > 6_000 && bound <= 6_100).toEqual(true);
});

// Guards against accepting the longest answers of a route too late.
test("the bound lies above each of the last hundred answers", () => {
  fc.assert(fc.property(
    fc.array(fc.integer({ min: 1, max: 60_000 }), {
      minLength: 4,
      maxLength: 400,
    }),
    (answers) => (boundOf(answers) ?? 0) > Math.max(...answers.slice(-100)),
  ));
});

// Guards against a route that counts as slow long after an outage.
test("a long answer is forgotten after two hundred others", () => {
  const answers = [9_000, ...Array.from({ length: 200 }, () => 100)];
  expect((boundOf(answers) ?? 0) < 1_000).toEqual(true);
});

// Guards against a daemon that has just started and refuses all when it stops.
test("a daemon takes over the times that another one has seen", () => {
  const seen = new AnswerTimes();
  for (let count = 0; count < 10; count++) seen.record("r", 6_000);
  const started = new AnswerTimes();
  started.merge(seen.page());
  expect(started.bound("r")).toEqual(seen.bound("r"));
  expect(started.page()).toEqual([]);
});
