import { expect } from "earl";
import { test } from "node:test";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";

const LIFE = { id: "i1", bornAt: 5 };

// Guards against a limit that outlives what the endpoint said last.
test("the newest word of an endpoint is its limit", () => {
  const limits = new EndpointLimits();
  expect(limits.of(LIFE)).toEqual(undefined);
  expect(limits.tell(LIFE, undefined, 0)).toEqual(false);
  expect(limits.tell(LIFE, 12, 10)).toEqual(true);
  expect(limits.tell(LIFE, 12, 20)).toEqual(false);
  expect(limits.tell(LIFE, 4, 30)).toEqual(true);
  expect(limits.tell(LIFE, 12, 25)).toEqual(false);
  expect(limits.of(LIFE)).toEqual(4);
  expect(limits.tell(LIFE, undefined, 40)).toEqual(true);
  expect(limits.of(LIFE)).toEqual(undefined);
});

// Guards against a new life that pays for the one before it.
test("a limit is of one life of an endpoint", () => {
  const limits = new EndpointLimits();
  limits.tell(LIFE, 4, 10);
  expect(limits.of({ id: "i1", bornAt: 9 })).toEqual(undefined);
  expect(limits.of({ id: "i1" })).toEqual(4);
  limits.tell({ id: "i1", bornAt: 9 }, 7, 20);
  expect(limits.tell(LIFE, 1, 30)).toEqual(false);
  expect(limits.of({ id: "i1", bornAt: 9 })).toEqual(7);
});
