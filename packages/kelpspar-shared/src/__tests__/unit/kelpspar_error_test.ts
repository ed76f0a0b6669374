import { expect } from "earl";
import { test } from "node:test";
import { KelpsparError, toKelpsparError } from "../../mod.ts";

test("wrapping a KelpsparError changes neither the wrapper nor the cause", () => {
  // Guards against a refused request that gets the result code of its cause:
  // given a cause of its own class, the errors library returns the modified
  // cause instead of a new error.
  const cause = new KelpsparError("endpoint_refused", "Cannot connect");
  const error = new KelpsparError("no_endpoint", "No endpoint", { cause });
  expect(error.result).toEqual("no_endpoint");
  expect(error.message).toEqual("No endpoint");
  expect(error.code).toEqual(2004);
  expect(cause.result).toEqual("endpoint_refused");
  expect(error.cause).toEqual(cause);
});

test("any thrown value gets a result code, and a KelpsparError keeps its own", () => {
  const existing = new KelpsparError("draining", "Stopping");
  expect(toKelpsparError(existing) === existing).toEqual(true);
  expect(toKelpsparError("text").result).toEqual("internal_error");
});
