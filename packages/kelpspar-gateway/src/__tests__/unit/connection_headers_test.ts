import { expect } from "earl";
import { test } from "node:test";
import {
  headerValue,
  passedHeaders,
} from "../../exchange/connection_headers.ts";

test("headers of one connection aren't passed on, named ones neither", () => {
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
  expect(passedHeaders(raw, new Set(["x-dropped"])))
    .toEqual(["Host", "a", "X-Kept", "2"]);
});

test("a header is found whatever its case; the first one counts", () => {
  expect(headerValue(["X-A", "1", "x-a", "2"], "x-a")).toEqual("1");
  expect(headerValue(["X-A", "1"], "x-b")).toEqual(undefined);
});
