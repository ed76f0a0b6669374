import { expect } from "earl";
import { test } from "node:test";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import {
  fromNoticeMessage,
  noticeMessageSchema,
  toNoticeMessage,
} from "../../endpoints/notice_page.ts";

const LIFE = { id: "i1", bornAt: 5 };

// Guards against a limit that outlives what the endpoint said last.
test("the newest word of an endpoint is its limit", () => {
  const limits = new EndpointLimits();
  expect(limits.of(LIFE)).toEqual(undefined);
  expect(limits.tell(LIFE, undefined, 0)).toEqual(false);
  expect(limits.tell(LIFE, 12, 10)).toEqual(true);
  expect(limits.tell(LIFE, 12, 20)).toEqual(false);
  expect(limits.tell(LIFE, 4, 30)).toEqual(true);
  expect(limits.tell(LIFE, 12, 25)).toEqual(false);
  expect(limits.of(LIFE)).toEqual(4);
  expect(limits.tell(LIFE, undefined, 40)).toEqual(true);
  expect(limits.of(LIFE)).toEqual(undefined);
});

// Guards against a new life that pays for the one before it.
test("a limit is of one life of an endpoint", () => {
  const limits = new EndpointLimits();
  limits.tell(LIFE, 4, 10);
  expect(limits.of({ id: "i1", bornAt: 9 })).toEqual(undefined);
  expect(limits.of({ id: "i1" })).toEqual(4);
  limits.tell({ id: "i1", bornAt: 9 }, 7, 20);
  expect(limits.tell(LIFE, 1, 30)).toEqual(false);
  expect(limits.of({ id: "i1", bornAt: 9 })).toEqual(7);
});

// Guards against a limit that nobody can read and that counts as none.
test("an unreadable limit keeps the one before, or counts as one a second", () => {
  const limits = new EndpointLimits();
  expect(limits.tellUnreadable(LIFE, 0)).toEqual(true);
  expect(limits.of(LIFE)).toEqual(1);
  limits.tell(LIFE, 7, 10);
  limits.tellUnreadable(LIFE, 20);
  expect(limits.of(LIFE)).toEqual(7);
  limits.tell(LIFE, undefined, 30);
  limits.tellUnreadable(LIFE, 40);
  expect(limits.of(LIFE)).toEqual(1);
});

// Guards against daemons that bring each other's old word back.
test("daemons take the newest word, and the lower one of the same time", () => {
  const one = new EndpointLimits();
  const other = new EndpointLimits();
  one.tell(LIFE, 12, 1_000);
  other.take(one.page(1_000), 5_000);
  expect(other.of(LIFE)).toEqual(12);
  expect(other.checksum).toEqual(one.checksum);
  // Clocks differ; ages count.
  other.tell(LIFE, 4, 5_100);
  other.take(one.page(1_200), 5_200);
  expect(other.of(LIFE)).toEqual(4);
  one.take(other.page(5_200), 1_200);
  expect(one.of(LIFE)).toEqual(4);
  // Said within a moment of each other, in an order that nobody knows.
  const hears = (known: number, word: number): number | undefined => {
    const [here, there] = [new EndpointLimits(), new EndpointLimits()];
    here.tell(LIFE, known, 1_000);
    there.tell(LIFE, word, 1_000);
    here.take(there.page(1_000), 1_100);
    return here.of(LIFE);
  };
  expect([hears(4, 12), hears(12, 4)]).toEqual([4, 4]);
  one.tell(LIFE, undefined, 9_000);
  other.take(one.page(9_000), 13_000);
  expect(other.of(LIFE)).toEqual(undefined);
  expect([one.checksum, other.checksum]).toEqual([0, 0]);
  one.take(other.page(13_010), 9_010);
  expect(one.of(LIFE)).toEqual(undefined);
});

// Guards against limits that a message loses or can't carry.
test("limits and their ends go between daemons as they are", () => {
  const limits = new EndpointLimits();
  limits.tell(LIFE, 0, 0);
  limits.tell({ id: "i2" }, 0.5, 0);
  limits.tell({ id: "i2" }, undefined, 40);
  const page = {
    limits: limits.page(100),
    leavings: [{ ...LIFE, ageMilliseconds: 7 }],
  };
  const message = JSON.parse(JSON.stringify(toNoticeMessage(page)));
  expect(fromNoticeMessage(noticeMessageSchema.parse(message))).toEqual(page);
  expect(page.limits.map((one) => [one.id, one.bornAt, one.perSecond])).toEqual(
    [
      ["i1", 5, 0],
      ["i2", undefined, undefined],
    ],
  );
  // The end of a limit is forgotten after a while, a limit much later.
  expect(limits.page(90_000).map(({ id }) => id)).toEqual(["i1"]);
  expect(limits.page(700_000)).toEqual([]);
  expect([limits.size, limits.checksum]).toEqual([0, 0]);
});
