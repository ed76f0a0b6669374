import type { ReaderCandidate } from "../../placement/choose_reader.ts";
import { expect } from "earl";
import { test } from "node:test";
import { chooseReader } from "../../placement/choose_reader.ts";

function candidate(
  endpointId: string,
  fields: Partial<ReaderCandidate> = {},
): ReaderCandidate {
  return {
    endpointId,
    waitingTokens: 0,
    cachedTokens: 0,
    likelyCachedTokens: 0,
    freeTokens: 100_000,
    crossingBytes: 0,
    slowness: 1,
    ...fields,
  };
}

const PROMPT_TOKENS = 9_000;

function choose(
  candidates: readonly ReaderCandidate[],
): readonly (string | undefined)[] {
  const place = chooseReader({ candidates, promptTokens: PROMPT_TOKENS });
  return [place?.endpointId, place?.promptSourceId];
}

test("a request is read where its prompt is cached and its inputs are", () => {
  expect(choose([
    candidate("a"),
    candidate("b", { cachedTokens: 6_000 }),
  ])).toEqual(["b", undefined]);
});

test("a waiting long prompt counts by its tokens, not as one request", () => {
  // Guards against counting the backlog in requests: short requests take 600 ms
  // until their first event behind one of 20,000 tokens at the endpoint that
  // caches their prompt, while other endpoints are idle, because each has one
  // request in flight.
  expect(choose([
    candidate("keeper", { cachedTokens: 6_000, waitingTokens: 20_000 }),
    candidate("idle"),
  ])).toEqual(["idle", "keeper"]);
});

test("the prompt is fetched rather than large inputs moved across zones", () => {
  // Guards against choosing the reader only by its cached prompt, independently
  // of where the results are made: three of four large results cross zones.
  expect(choose([
    candidate("keeper", { cachedTokens: 6_300, crossingBytes: 4_500_000 }),
    candidate("near"),
  ])).toEqual(["near", "keeper"]);
});

test("a short cached prefix isn't worth fetching to another endpoint", () => {
  expect(choose([
    candidate("keeper", { cachedTokens: 500, crossingBytes: 60_000 }),
    candidate("near"),
  ])).toEqual(["keeper", undefined]);
});

test("a slow endpoint doesn't read a prompt that it has cached", () => {
  expect(choose([
    candidate("slow", { cachedTokens: 6_000, slowness: 5 }),
    candidate("sound"),
  ])).toEqual(["sound", "slow"]);
});

test("a long prompt isn't copied into a full cache", () => {
  // Guards against costing a copy by its transfer only: prompts of 13,300 tokens
  // are fetched into every zone, each cache holds 40 of them, every copy evicts
  // another prompt, and three times as many tokens are read again.
  expect(choose([
    candidate("keeper", { cachedTokens: 6_300, crossingBytes: 4_500_000 }),
    candidate("near", { freeTokens: 0 }),
  ])).toEqual(["keeper", undefined]);
});

test("without endpoints no reader is chosen", () => {
  expect(chooseReader({ candidates: [], promptTokens: 1 })).toEqual(undefined);
});
