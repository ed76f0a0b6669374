import { expect } from "earl";
import { test } from "node:test";
import { PromptCache } from "../../placement/prompt_cache.ts";
import { ReaderTracker } from "../../placement/reader_tracker.ts";

const PARTS = [{ id: "a", tokens: 100 }, { id: "b", tokens: 50 }];

function place(tracker: ReaderTracker, attemptId: string): void {
  tracker.promptCacheOf("e1", 1_000);
  tracker.recordPlacement(attemptId, {
    endpointId: "e1",
    parts: PARTS,
    tokens: 400,
    now: 0,
  });
}

test("tokens wait until the request was read, or for a bounded time", () => {
  const tracker = new ReaderTracker();
  place(tracker, "r1");
  place(tracker, "r2");
  expect(tracker.waitingTokens("e1", 10)).toEqual(800);
  tracker.recordEnd("r1");
  expect(tracker.waitingTokens("e1", 10)).toEqual(400);
  expect(tracker.waitingTokens("e1", 5_000)).toEqual(0);
});

test("a prompt is cached up to the first missing part, for a limited time", () => {
  const cache = new PromptCache(1_000);
  cache.recordUse(PARTS, 0);
  expect(cache.cachedTokens(PARTS, 10)).toEqual(150);
  const other = [{ id: "a", tokens: 100 }, { id: "c", tokens: 70 }];
  expect(cache.cachedTokens(other, 10)).toEqual(100);
  expect(cache.cachedTokens(PARTS, 60_000)).toEqual(0);
});

test("the least recently used part is evicted when the cache is full", () => {
  const cache = new PromptCache(250);
  cache.recordUse([{ id: "a", tokens: 100 }], 0);
  cache.recordUse([{ id: "b", tokens: 100 }], 1);
  cache.recordUse([{ id: "a", tokens: 100 }], 2);
  expect(cache.freeTokens).toEqual(50);
  cache.recordUse([{ id: "c", tokens: 100 }], 3);
  const isCached = (id: string): boolean =>
    cache.cachedTokens([{ id, tokens: 100 }], 4) > 0;
  expect(["a", "b", "c"].map(isCached)).toEqual([true, false, true]);
});

test("a removed endpoint has no cached prompts and no waiting tokens", () => {
  // Guards against keeping an endpoint's state across a restart: it crashes and
  // restarts under the same id within two heartbeats, and requests are sent to
  // it for cached prompts that it no longer has.
  const tracker = new ReaderTracker();
  place(tracker, "r1");
  tracker.endpointGone("e1");
  expect(tracker.promptCacheOf("e1", 1_000).cachedTokens(PARTS, 10)).toEqual(0);
  expect(tracker.waitingTokens("e1", 10)).toEqual(0);
});
