import { expect } from "earl";
import { test } from "node:test";
import { requestPriority } from "../../requests/request_priority.ts";

test("route priorities order requests within one account priority", () => {
  // Guards against a burst of less urgent requests that delays urgent ones. When
  // all accounts had the same priority, it replaced the priority of the routes,
  // so that all requests were equal.
  const urgent = requestPriority(1, 0);
  const relaxed = requestPriority(1, 2);
  expect(urgent < relaxed).toEqual(true);
  expect(requestPriority(0, 9) < urgent).toEqual(true);
  expect(relaxed < requestPriority(2, 0)).toEqual(true);
});

test("the route's priority applies to requests without an account", () => {
  expect(requestPriority(undefined, 0) < requestPriority(undefined, 1))
    .toEqual(true);
});
