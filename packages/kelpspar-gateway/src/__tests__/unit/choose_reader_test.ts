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
    heldTokens: 0,
    likelyTokens: 0,
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

test("a request goes where its prompt is kept and its inputs are", () => {
  expect(choose([
    candidate("a"),
    candidate("b", { heldTokens: 6_000 }),
  ])).toEqual(["b", undefined]);
});

test("a long prompt that waits counts by its tokens, not as one request", () => {
  // Symptom: short requests took 600 ms until their first event while other
  // endpoints were idle.
  // Sequence: one of 20,000 tokens had been sent to the endpoint that keeps
  // their prompt; the endpoint had one request in flight, as the others.
  // Cause: what waits was counted in requests.
  expect(choose([
    candidate("keeper", { heldTokens: 6_000, waitingTokens: 20_000 }),
    candidate("idle"),
  ])).toEqual(["idle", "keeper"]);
});

test("the prompt is fetched rather than large inputs carried across zones", () => {
  // Symptom: three of four large results crossed zones.
  // Sequence: the endpoint was chosen by the prompt it kept before the results
  // were made; they were made wherever an endpoint was free.
  // Cause: maker and reader were chosen one after the other.
  expect(choose([
    candidate("keeper", { heldTokens: 6_300, crossingBytes: 4_500_000 }),
    candidate("near"),
  ])).toEqual(["near", "keeper"]);
});

test("a short beginning isn't worth leaving the endpoint that keeps it", () => {
  expect(choose([
    candidate("keeper", { heldTokens: 500, crossingBytes: 60_000 }),
    candidate("near"),
  ])).toEqual(["keeper", undefined]);
});

test("a slow endpoint isn't given a prompt that it keeps", () => {
  expect(choose([
    candidate("slow", { heldTokens: 6_000, slowness: 5 }),
    candidate("sound"),
  ])).toEqual(["sound", "slow"]);
});

test("a long prompt isn't copied into memory that is full of others", () => {
  // Symptom: three times as many prompt tokens were read again.
  // Sequence: prompts of 13,300 tokens were fetched into every zone, where
  // memory had place for 40 of them; each pushed out another one.
  // Cause: a copy was taken to cost its transfer only.
  expect(choose([
    candidate("keeper", { heldTokens: 6_300, crossingBytes: 4_500_000 }),
    candidate("near", { freeTokens: 0 }),
  ])).toEqual(["keeper", undefined]);
});

test("without endpoints there is no place", () => {
  expect(chooseReader({ candidates: [], promptTokens: 1 })).toEqual(undefined);
});
