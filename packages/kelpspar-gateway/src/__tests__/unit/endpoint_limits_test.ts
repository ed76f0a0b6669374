import { expect } from "earl";
import { test } from "node:test";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import {
  fromNoticeMessage,
  noticeMessageSchema,
  toNoticeMessage,
} from "../../endpoints/notice_page.ts";

const INCARNATION = { id: "i1", bornAt: 5 };

// Guards against a limit that stays in force after a newer report.
test("the newest report of an endpoint is its limit", () => {
  const limits = new EndpointLimits();
  expect(limits.limitOf(INCARNATION)).toEqual(undefined);
  expect(limits.record(INCARNATION, undefined, 0)).toEqual(false);
  expect(limits.record(INCARNATION, 12, 10)).toEqual(true);
  expect(limits.record(INCARNATION, 12, 20)).toEqual(false);
  expect(limits.record(INCARNATION, 4, 30)).toEqual(true);
  expect(limits.record(INCARNATION, 12, 25)).toEqual(false);
  expect(limits.limitOf(INCARNATION)).toEqual(4);
  expect(limits.record(INCARNATION, undefined, 40)).toEqual(true);
  expect(limits.limitOf(INCARNATION)).toEqual(undefined);
});

// Guards against a limit that carries over to a new incarnation.
test("a limit applies to one incarnation of an endpoint", () => {
  const limits = new EndpointLimits();
  limits.record(INCARNATION, 4, 10);
  expect(limits.limitOf({ id: "i1", bornAt: 9 })).toEqual(undefined);
  expect(limits.limitOf({ id: "i1" })).toEqual(4);
  limits.record({ id: "i1", bornAt: 9 }, 7, 20);
  expect(limits.record(INCARNATION, 1, 30)).toEqual(false);
  expect(limits.limitOf({ id: "i1", bornAt: 9 })).toEqual(7);
});

// Guards against an unreadable limit that counts as no limit.
test("an unreadable limit keeps the previous one, or counts as one per second", () => {
  const limits = new EndpointLimits();
  expect(limits.recordUnreadable(INCARNATION, 0)).toEqual(true);
  expect(limits.limitOf(INCARNATION)).toEqual(1);
  limits.record(INCARNATION, 7, 10);
  limits.recordUnreadable(INCARNATION, 20);
  expect(limits.limitOf(INCARNATION)).toEqual(7);
  limits.record(INCARNATION, undefined, 30);
  limits.recordUnreadable(INCARNATION, 40);
  expect(limits.limitOf(INCARNATION)).toEqual(1);
});

// Guards against daemons that restore each other's outdated reports.
test("daemons merge to the newest limit, and to the lower one of concurrent reports", () => {
  const one = new EndpointLimits();
  const other = new EndpointLimits();
  one.record(INCARNATION, 12, 1_000);
  other.merge(one.page(1_000), 5_000);
  expect(other.limitOf(INCARNATION)).toEqual(12);
  expect(other.checksum).toEqual(one.checksum);
  // The daemons' clocks differ; only ages are compared.
  other.record(INCARNATION, 4, 5_100);
  other.merge(one.page(1_200), 5_200);
  expect(other.limitOf(INCARNATION)).toEqual(4);
  one.merge(other.page(5_200), 1_200);
  expect(one.limitOf(INCARNATION)).toEqual(4);
  // Reported at nearly the same time, in an unknown order.
  const mergedLimit = (known: number, received: number): number | undefined => {
    const [local, remote] = [new EndpointLimits(), new EndpointLimits()];
    local.record(INCARNATION, known, 1_000);
    remote.record(INCARNATION, received, 1_000);
    local.merge(remote.page(1_000), 1_100);
    return local.limitOf(INCARNATION);
  };
  expect([mergedLimit(4, 12), mergedLimit(12, 4)]).toEqual([4, 4]);
  one.record(INCARNATION, undefined, 9_000);
  other.merge(one.page(9_000), 13_000);
  expect(other.limitOf(INCARNATION)).toEqual(undefined);
  expect([one.checksum, other.checksum]).toEqual([0, 0]);
  one.merge(other.page(13_010), 9_010);
  expect(one.limitOf(INCARNATION)).toEqual(undefined);
});

// Guards against limits that are lost or altered in a message.
test("limits and their ends pass unchanged between daemons", () => {
  const limits = new EndpointLimits();
  limits.record(INCARNATION, 0, 0);
  limits.record({ id: "i2" }, 0.5, 0);
  limits.record({ id: "i2" }, undefined, 40);
  const page = {
    limits: limits.page(100),
    leavings: [{ ...INCARNATION, ageMilliseconds: 7 }],
  };
  const message = JSON.parse(JSON.stringify(toNoticeMessage(page)));
  expect(fromNoticeMessage(noticeMessageSchema.parse(message))).toEqual(page);
  expect(page.limits.map((one) => [one.id, one.bornAt, one.perSecond])).toEqual(
    [
      ["i1", 5, 0],
      ["i2", undefined, undefined],
    ],
  );
  // The end of a limit is kept for a minute, a limit for ten minutes.
  expect(limits.page(90_000).map(({ id }) => id)).toEqual(["i1"]);
  expect(limits.page(700_000)).toEqual([]);
  expect([limits.size, limits.checksum]).toEqual([0, 0]);
});
