import { expect } from "earl";
import { test } from "node:test";
import { requestPriority } from "../../requests/request_priority.ts";

test("the account's priority goes before the route's, which orders its own", () => {
  // Symptom: a burst of a kind that may wait made the urgent one late.
  // Sequence: all accounts had the same priority.
  // Cause: it replaced the route's, so that all requests were alike.
  const urgent = requestPriority(1, 0);
  const patient = requestPriority(1, 2);
  expect(urgent < patient).toEqual(true);
  expect(requestPriority(0, 9) < urgent).toEqual(true);
  expect(patient < requestPriority(2, 0)).toEqual(true);
});

test("routes order requests without accounts", () => {
  expect(requestPriority(undefined, 0) < requestPriority(undefined, 1))
    .toEqual(true);
});
