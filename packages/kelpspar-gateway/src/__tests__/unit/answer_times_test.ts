import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { ManualTimer } from "kelpspar-shared";
import { AnswerTimes } from "../../lifecycle/answer_times.ts";

/** Longer than any route must have been observed. */
const OBSERVED_MILLISECONDS = 10_000_000;

function boundOf(milliseconds: readonly number[]): number | undefined {
  const timer = new ManualTimer();
  const times = new AnswerTimes(timer);
  for (const answer of milliseconds) times.record("r", answer);
  timer.jump(OBSERVED_MILLISECONDS);
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

// Guards against a daemon that has just started and trusts the first answers,
// which were short ones.
test("the bound of uneven answers is wide while few are known", () => {
  const few = boundOf([1_000, 2_000, 1_500, 1_000]) ?? 0;
  expect(few > 3_000).toEqual(true);
  const uneven = [1_000, 2_000, 1_500, 1_000];
  const many = boundOf(Array.from({ length: 25 }, () => uneven).flat()) ?? 0;
  expect(many < 2_500).toEqual(true);
});

// Guards against answer times that are lost when all daemons restart in turn.
test("times are passed on from daemon to daemon until they are old", async () => {
  const timer = new ManualTimer();
  const [first, second, third] = [1, 2, 3].map(() => new AnswerTimes(timer));
  if (!first || !second || !third) throw new Error("No daemons");
  for (let count = 0; count < 10; count++) first.record("r", 6_000);
  await timer.advance(10_000);
  second.merge(first.page());
  await timer.advance(60_000);
  third.merge(second.page());
  expect(third.bound("r")).toEqual(first.bound("r"));
  for (let count = 0; count < 10; count++) third.record("r", 100);
  expect((third.bound("r") ?? 0) > 6_000).toEqual(true);
  await timer.advance(51_000);
  expect((third.bound("r") ?? 0) < 1_000).toEqual(true);
});

// Guards against a daemon that knows only the answers which were short enough to
// end since the first request.
test("uneven times are unknown until they were observed for long", async () => {
  const timer = new ManualTimer();
  const times = new AnswerTimes(timer);
  await timer.advance(2_000);
  for (let count = 0; count < 20; count++) {
    times.record("uneven", count % 2 === 0 ? 1_000 : 2_000);
    times.record("even", 1_900);
  }
  await timer.advance(500);
  expect(times.bound("uneven")).toEqual(undefined);
  expect(times.bound("even") === undefined).toEqual(false);
  const other = new AnswerTimes(timer);
  other.merge(times.page());
  expect(other.bound("uneven")).toEqual(undefined);
  await timer.advance(20_000);
  expect(times.bound("uneven") === undefined).toEqual(false);
});
