import type { PieceCandidate } from "../../pieces/place_piece.ts";
import { expect } from "earl";
import { test } from "node:test";
import { placePiece } from "../../pieces/place_piece.ts";

const LARGE = 3_000_000;

function place(
  target: string,
  options: Partial<PieceCandidate<string>> = {},
): PieceCandidate<string> {
  return {
    target,
    isFree: true,
    wait: 0,
    slowness: 1,
    crossing: 0,
    ...options,
  };
}

function choose(
  places: readonly PieceCandidate<string>[],
  options: { readonly slack?: number; readonly queueTime?: number } = {},
): string | undefined {
  return placePiece({
    candidates: places,
    callTime: 250,
    slack: options.slack ?? 1_000,
    queueTime: options.queueTime ?? 0,
  });
}

test("a piece is made where its large results don't cross zones", () => {
  expect(choose([place("far", { crossing: LARGE }), place("near")]))
    .toEqual("near");
});

test("a piece with slack waits for the nearby endpoint", () => {
  const near = place("near", { isFree: false, wait: 200 });
  expect(choose([place("far", { crossing: LARGE }), near], { slack: 300 }))
    .toEqual(undefined);
});

test("a piece without slack crosses zones at once", () => {
  const near = place("near", { isFree: false, wait: 200 });
  expect(choose([place("far", { crossing: LARGE }), near], { slack: 100 }))
    .toEqual("far");
});

test("small results cross zones without waiting", () => {
  const near = place("near", { isFree: false, wait: 200 });
  expect(choose([place("far", { crossing: 8_000 }), near])).toEqual("far");
});

test("a piece waits for a nearly free endpoint rather than one four times slower", () => {
  // Guards against assuming that a free endpoint finishes first: one slow
  // endpoint of three is free first each time, gets a full call and delays every
  // third chain by a second.
  const slow = place("slow", { slowness: 4 });
  const busy = place("busy", { isFree: false, wait: 120 });
  expect(choose([slow, busy])).toEqual(undefined);
  expect(choose([slow, busy], { queueTime: 3_000 })).toEqual("slow");
  expect(choose([slow])).toEqual("slow");
});
