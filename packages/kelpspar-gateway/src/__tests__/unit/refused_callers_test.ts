import { expect } from "earl";
import { test } from "node:test";
import { RefusedCallers } from "../../pieces/refused_callers.ts";

test("who comes back is as old as the first refusal, and a fresh one is new", () => {
  // Symptom: three of four fresh callers were taken for returning ones, and
  // their work went behind all that could be on time.
  // Sequence: callers whose deadlines differ by a sixth asked for the first
  // time; the longest deadline seen was taken for that of a fresh one.
  // Cause: age was read from deadlines.
  const callers = new RefusedCallers();
  expect(callers.ageOf("k1", 100)).toEqual(0);
  callers.record("k1", 100);
  callers.record("k1", 400);
  expect(callers.ageOf("k1", 600)).toEqual(500);
  expect(callers.ageOf("k2", 600)).toEqual(0);
});

test("callers without a key are never taken for one another", () => {
  const callers = new RefusedCallers();
  callers.record("", 0);
  expect(callers.ageOf("", 500)).toEqual(0);
});

test("memory stays bounded: the oldest is forgotten", () => {
  const callers = new RefusedCallers();
  for (let count = 0; count < 5_000; count++) callers.record(`k${count}`, 0);
  expect(callers.ageOf("k0", 10)).toEqual(0);
  expect(callers.ageOf("k4999", 10)).toEqual(10);
});
