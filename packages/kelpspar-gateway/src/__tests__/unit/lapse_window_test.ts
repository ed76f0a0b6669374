import { expect } from "earl";
import { test } from "node:test";
import { LapseWindow } from "../../endpoints/missing_entry_grace_period.ts";

function createWindow(
  options: { readonly drain?: number; readonly contact?: number } = {},
): LapseWindow {
  return new LapseWindow({
    drainMilliseconds: options.drain ?? 2_000,
    contactMilliseconds: options.contact ?? 3_000,
    sendMilliseconds: 250,
  });
}

test("what is missing while calls are answered has left", () => {
  const window = createWindow();
  expect(window.answered(1_000)).toEqual(false);
  expect(window.heldUntil(1_000)).toEqual(undefined);
});

test("a missing entry is believed from the list's return, not from its removal", () => {
  // Entries removed 3.3 s after the return of the list were believed until
  // 5.6 s after it, since the time began anew with each removal.
  const window = createWindow({ drain: 10_000, contact: 10_000 });
  window.failed(4_000);
  window.failed(6_900);
  expect(window.answered(7_100)).toEqual(true);
  expect(window.heldUntil(7_100)).toEqual(9_100);
  window.answered(8_900);
  expect(window.heldUntil(8_900)).toEqual(9_100);
  expect(window.heldUntil(9_100)).toEqual(undefined);
});

test("no removal is believed past the bound of leaving", () => {
  const window = createWindow({ drain: 1_500 });
  window.failed(4_000);
  window.failed(6_900);
  window.answered(7_100);
  expect(window.heldUntil(7_100)).toEqual(7_100 + 1_500 - 250);
});

test("a return that is noticed late shortens the time that is left", () => {
  // A daemon whose call was sent into the silence read the list 3.4 s after its
  // return, when all others had long stopped believing what was missing.
  const window = createWindow();
  window.failed(4_000);
  window.failed(6_900);
  window.answered(9_200);
  expect(window.heldUntil(9_200)).toEqual(6_900 + 3_000 - 250);
  window.failed(9_600);
  window.failed(10_000);
  window.answered(13_400);
  expect(window.heldUntil(13_400)).toEqual(undefined);
});

test("a single call that failed may have gone out on a dead connection", () => {
  // The trouble was over when the connections fell silent, a pace before the
  // call, and a removal read 2.6 s after it was believed for 1.2 s more.
  const window = createWindow();
  window.answered(1_000);
  window.failed(2_100);
  window.answered(3_700);
  expect(window.heldUntil(3_700)).toEqual(1_000 + 3_000 - 250);
});

test("after a return from a copy missing entries are believed like after one failed call", () => {
  // The copy lacks entries of endpoints that were listed since it was made.
  const window = createWindow();
  window.answered(1_000);
  window.restored();
  expect(window.answered(1_800)).toEqual(true);
  expect(window.heldUntil(1_800)).toEqual(1_800 + 2_000 - 250);
  expect(window.answered(2_900)).toEqual(false);
});

test("another daemon's word counts as an answer, with the time that it believes", () => {
  const window = createWindow();
  window.failed(4_000);
  expect(window.confirmed(4_500, undefined)).toEqual(false);
  expect(window.heldUntil(4_500)).toEqual(undefined);
  expect(window.confirmed(5_000, 6_000)).toEqual(true);
  expect(window.heldUntil(5_500)).toEqual(6_000);
  window.restored();
  expect(window.confirmed(8_000, undefined)).toEqual(false);
  expect(window.confirmed(8_100, 9_000)).toEqual(true);
});
