import { expect } from "earl";
import { test } from "node:test";
import {
  endToEndHeaders,
  headerValue,
} from "../../exchange/connection_headers.ts";

test("hop-by-hop headers and those that Connection lists aren't forwarded", () => {
  const raw = [
    "Host",
    "a",
    "Connection",
    "close, X-Only-Here",
    "x-only-here",
    "1",
    "Keep-Alive",
    "timeout=5",
    "X-Kept",
    "2",
    "X-Dropped",
    "3",
  ];
  expect(endToEndHeaders(raw, new Set(["x-dropped"])))
    .toEqual(["Host", "a", "X-Kept", "2"]);
});

test("header lookup ignores case and returns the first value", () => {
  expect(headerValue(["X-A", "1", "x-a", "2"], "x-a")).toEqual("1");
  expect(headerValue(["X-A", "1"], "x-b")).toEqual(undefined);
});
