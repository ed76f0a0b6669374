import type { PiecePlace } from "../../pieces/place_piece.ts";
import { expect } from "earl";
import { test } from "node:test";
import { placePiece } from "../../pieces/place_piece.ts";

const LARGE = 3_000_000;

function place(
  lane: string,
  options: Partial<PiecePlace<string>> = {},
): PiecePlace<string> {
  return { lane, isFree: true, wait: 0, slowness: 1, crossing: 0, ...options };
}

function choose(
  places: readonly PiecePlace<string>[],
  options: { readonly slack?: number; readonly queueTime?: number } = {},
): string | undefined {
  return placePiece({
    places,
    callTime: 250,
    slack: options.slack ?? 1_000,
    queueTime: options.queueTime ?? 0,
  });
}

test("a piece is made where its large results needn't cross zones", () => {
  expect(choose([place("far", { crossing: LARGE }), place("near")]))
    .toEqual("near");
});

test("a piece with time waits for the endpoint nearby", () => {
  const near = place("near", { isFree: false, wait: 200 });
  expect(choose([place("far", { crossing: LARGE }), near], { slack: 300 }))
    .toEqual(undefined);
});

test("a pressed piece crosses zones at once", () => {
  const near = place("near", { isFree: false, wait: 200 });
  expect(choose([place("far", { crossing: LARGE }), near], { slack: 100 }))
    .toEqual("far");
});

test("small results cross zones without waiting", () => {
  const near = place("near", { isFree: false, wait: 200 });
  expect(choose([place("far", { crossing: 8_000 }), near])).toEqual("far");
});

test("an endpoint four times slower waits while another is nearly free", () => {
  // Symptom: one slow endpoint of three held every third chain for a second.
  // Sequence: its lane was free first, each time, and took a full call.
  // Cause: a free lane was taken for the soonest one.
  const slow = place("slow", { slowness: 4 });
  const busy = place("busy", { isFree: false, wait: 120 });
  expect(choose([slow, busy])).toEqual(undefined);
  expect(choose([slow, busy], { queueTime: 3_000 })).toEqual("slow");
  expect(choose([slow])).toEqual("slow");
});
