import { expect } from "earl";
import { test } from "node:test";
import { KelpsparError, toKelpsparError } from "../../mod.ts";

test("an error that wraps another of its kind changes neither", () => {
  // Symptom: a refused request was answered with the code of its cause.
  // Sequence: an error was created with a cause that was a KelpsparError.
  // Cause: the errors library returned the cause itself, changed.
  const cause = new KelpsparError("endpoint_refused", "Cannot connect");
  const error = new KelpsparError("no_endpoint", "No endpoint", { cause });
  expect(error.result).toEqual("no_endpoint");
  expect(error.message).toEqual("No endpoint");
  expect(error.code).toEqual(2004);
  expect(cause.result).toEqual("endpoint_refused");
  expect(error.cause).toEqual(cause);
});

test("any thrown value gets a result code, and keeps one it has", () => {
  const known = new KelpsparError("draining", "Stopping");
  expect(toKelpsparError(known) === known).toEqual(true);
  expect(toKelpsparError("text").result).toEqual("internal_error");
});
