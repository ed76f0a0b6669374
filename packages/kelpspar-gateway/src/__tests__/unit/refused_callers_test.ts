import { expect } from "earl";
import { test } from "node:test";
import { RefusedCallers } from "../../pieces/refused_callers.ts";

test("a retrying caller's age counts from its first refusal, a new one's is zero", () => {
  // Guards against inferring age from deadlines: when the deadlines of new
  // callers differ by a sixth and the longest is taken for that of a new caller,
  // three of four new callers count as retrying, and their work goes behind all
  // that can be on time.
  const callers = new RefusedCallers();
  expect(callers.ageOf("k1", 100)).toEqual(0);
  callers.record("k1", 100);
  callers.record("k1", 400);
  expect(callers.ageOf("k1", 600)).toEqual(500);
  expect(callers.ageOf("k2", 600)).toEqual(0);
});

test("callers without a key are never confused with each other", () => {
  const callers = new RefusedCallers();
  callers.record("", 0);
  expect(callers.ageOf("", 500)).toEqual(0);
});

test("memory stays bounded: the oldest caller is evicted", () => {
  const callers = new RefusedCallers();
  for (let count = 0; count < 5_000; count++) callers.record(`k${count}`, 0);
  expect(callers.ageOf("k0", 10)).toEqual(0);
  expect(callers.ageOf("k4999", 10)).toEqual(10);
});
