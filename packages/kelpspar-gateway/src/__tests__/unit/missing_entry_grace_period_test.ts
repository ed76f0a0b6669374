import { expect } from "earl";
import { test } from "node:test";
import { MissingEntryGracePeriod } from "../../endpoints/missing_entry_grace_period.ts";

function createGracePeriod(
  options: { readonly drain?: number; readonly contact?: number } = {},
): MissingEntryGracePeriod {
  return new MissingEntryGracePeriod({
    drainMilliseconds: options.drain ?? 2_000,
    contactMilliseconds: options.contact ?? 3_000,
    sendMilliseconds: 250,
  });
}

test("an entry that is missing while calls are answered has left", () => {
  const gracePeriod = createGracePeriod();
  expect(gracePeriod.answered(1_000)).toEqual(false);
  expect(gracePeriod.endsAt(1_000)).toEqual(undefined);
});

test("the grace period starts with the list's recovery, not with a removal", () => {
  // Guards against a period that restarts with each removal: entries removed
  // 3.3 s after the list's recovery stayed in use until 5.6 s after it.
  const gracePeriod = createGracePeriod({ drain: 10_000, contact: 10_000 });
  gracePeriod.failed(4_000);
  gracePeriod.failed(6_900);
  expect(gracePeriod.answered(7_100)).toEqual(true);
  expect(gracePeriod.endsAt(7_100)).toEqual(9_100);
  gracePeriod.answered(8_900);
  expect(gracePeriod.endsAt(8_900)).toEqual(9_100);
  expect(gracePeriod.endsAt(9_100)).toEqual(undefined);
});

test("the grace period ends by the drain bound", () => {
  const gracePeriod = createGracePeriod({ drain: 1_500 });
  gracePeriod.failed(4_000);
  gracePeriod.failed(6_900);
  gracePeriod.answered(7_100);
  expect(gracePeriod.endsAt(7_100)).toEqual(7_100 + 1_500 - 250);
});

test("a recovery that is detected late shortens the grace period", () => {
  // Guards against a full period for a daemon whose call used a dead
  // connection: it read the list 3.4 s after the recovery, long after the
  // period of all other daemons had ended.
  const gracePeriod = createGracePeriod();
  gracePeriod.failed(4_000);
  gracePeriod.failed(6_900);
  gracePeriod.answered(9_200);
  expect(gracePeriod.endsAt(9_200)).toEqual(6_900 + 3_000 - 250);
  gracePeriod.failed(9_600);
  gracePeriod.failed(10_000);
  gracePeriod.answered(13_400);
  expect(gracePeriod.endsAt(13_400)).toEqual(undefined);
});

test("a single failed call may have used a dead connection", () => {
  // Guards against a period counted from that call: the outage was over when
  // the connections went dead, one interval before the call, and a removal read
  // 2.6 s later was treated as an expiry for 1.2 s more.
  const gracePeriod = createGracePeriod();
  gracePeriod.answered(1_000);
  gracePeriod.failed(2_100);
  gracePeriod.answered(3_700);
  expect(gracePeriod.endsAt(3_700)).toEqual(1_000 + 3_000 - 250);
});

test("a restore from a copy counts as a single failed call", () => {
  // The copy lacks the entries written since it was made.
  const gracePeriod = createGracePeriod();
  gracePeriod.answered(1_000);
  gracePeriod.restored();
  expect(gracePeriod.answered(1_800)).toEqual(true);
  expect(gracePeriod.endsAt(1_800)).toEqual(1_800 + 2_000 - 250);
  expect(gracePeriod.answered(2_900)).toEqual(false);
});

test("another daemon's answer counts, together with its grace period", () => {
  const gracePeriod = createGracePeriod();
  gracePeriod.failed(4_000);
  expect(gracePeriod.confirmed(4_500, undefined)).toEqual(false);
  expect(gracePeriod.endsAt(4_500)).toEqual(undefined);
  expect(gracePeriod.confirmed(5_000, 6_000)).toEqual(true);
  expect(gracePeriod.endsAt(5_500)).toEqual(6_000);
  gracePeriod.restored();
  expect(gracePeriod.confirmed(8_000, undefined)).toEqual(false);
  expect(gracePeriod.confirmed(8_100, 9_000)).toEqual(true);
});
