import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import { expect } from "earl";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { test } from "node:test";
import { chooseEndpoint } from "../../endpoints/choose_endpoint.ts";
import { EndpointBook } from "../../endpoints/endpoint_registry.ts";
import { EndpointLeavings } from "../../endpoints/endpoint_leavings.ts";
import { EndpointLimits } from "../../endpoints/endpoint_limits.ts";
import { EndpointNotices } from "../../endpoints/endpoint_notices.ts";
import { createNoticeListener } from "../../endpoints/notice_handlers.ts";
import { pauseOfAll } from "../../endpoints/shortest_pause.ts";

const ENTRY: EndpointEntry = {
  id: "i1",
  bornAt: 5,
  service: "model",
  address: "10.0.0.1:80",
  zone: "a",
  slots: 4,
  isDraining: false,
};

interface World {
  readonly timer: ManualTimer;
  readonly book: EndpointBook;
  readonly notices: EndpointNotices;
  readonly leavings: EndpointLeavings;
  readonly anomalies: string[];
}

function createWorld(): World {
  const timer = new ManualTimer();
  const book = new EndpointBook();
  const notices = new EndpointNotices();
  const anomalies: string[] = [];
  const leavings = new EndpointLeavings();
  notices.registerListener(createNoticeListener({
    book,
    limits: new EndpointLimits(),
    leavings,
    timer,
    log: { info: () => {}, warn: () => {} },
    anomalies: { note: (anomaly) => void anomalies.push(anomaly) },
  }));
  book.put(ENTRY, timer.now());
  return { timer, book, notices, leavings, anomalies };
}

function ids(book: EndpointBook): readonly string[] {
  return book.ofService("model").map(({ entry }) => entry.id);
}

// Guards against a list that brings back what said that it leaves.
test("an endpoint that says it leaves stays out while its entry says ready", () => {
  const { book, notices, timer } = createWorld();
  notices.tell(ENTRY, { type: "leaving" });
  expect(ids(book)).toEqual([]);
  expect(book.put({ ...ENTRY, slots: 8 }, 10)).toEqual("has_left");
  // The entry lapses while the list is away, and is listed again for long.
  book.miss(ENTRY.id, undefined);
  book.put(ENTRY, 20);
  book.listReturned(25);
  expect(book.readmit(100_000)).toEqual([]);
  expect(ids(book)).toEqual([]);
  expect(timer.now()).toEqual(0);
});

// Guards against word that comes while the endpoint's entry is missing.
test("word of leaving counts for an endpoint that isn't in use just then", () => {
  const { book, notices } = createWorld();
  book.suspend(ENTRY.id);
  notices.tell(ENTRY, { type: "leaving" });
  expect(book.put(ENTRY, 10)).toEqual("has_left");
  expect(ids(book)).toEqual([]);
});

// Guards against a new life that pays for the one before it.
test("word of leaving holds for one life only", () => {
  const { book, notices } = createWorld();
  notices.tell(ENTRY, { type: "leaving" });
  book.put({ ...ENTRY, bornAt: 9 }, 10);
  expect(ids(book)).toEqual(["i1"]);
  notices.tell(ENTRY, { type: "leaving" });
  expect(ids(book)).toEqual(["i1"]);
  notices.tell({ id: "i1" }, { type: "leaving" });
  expect(ids(book)).toEqual([]);
});

// Guards against a pause that ends the use of an endpoint, or is forgotten.
test("an endpoint is not chosen while it wants a pause, and is after it", () => {
  const { book, notices } = createWorld();
  book.put({ ...ENTRY, id: "i2" }, 0);
  const choose = (now: number): string | undefined =>
    chooseEndpoint({
      endpoints: book.ofService("model"),
      tried: new Set(["i2"]),
      zone: "a",
      affinity: undefined,
      random: new SeededRandom(1),
      now,
      isOpen: () => true,
    })?.endpoint.entry.id;
  expect(choose(0)).toEqual("i1");
  notices.tell(ENTRY, { type: "pause", milliseconds: 400 });
  notices.tell(ENTRY, { type: "pause", milliseconds: 100 });
  expect(choose(399)).toEqual(undefined);
  expect(choose(400)).toEqual("i1");
});

// Guards against an absurd length that takes an endpoint out for good.
test("a pause is cut to the longest one", () => {
  const { book, notices } = createWorld();
  notices.tell(ENTRY, { type: "pause", milliseconds: 1e15 });
  expect(pauseOfAll(book.ofService("model"), 0)).toEqual(600_000);
});

// Guards against callers that are told to wait while one endpoint is free.
test("the pause of all is that of the first to be back", () => {
  const { book, notices } = createWorld();
  expect(pauseOfAll([], 0)).toEqual(0);
  book.put({ ...ENTRY, id: "i2" }, 0);
  notices.tell(ENTRY, { type: "pause", milliseconds: 400 });
  expect(pauseOfAll(book.ofService("model"), 0)).toEqual(0);
  notices.tell({ id: "i2" }, { type: "pause", milliseconds: 300 });
  expect(pauseOfAll(book.ofService("model"), 100)).toEqual(200);
});

// Guards against a wish that is dropped without a trace.
test("a pause whose length can't be read is counted", () => {
  const { book, notices, anomalies } = createWorld();
  notices.tell(ENTRY, { type: "unreadable_pause", text: "soon" });
  expect(anomalies).toEqual(["pause_unreadable"]);
  expect(pauseOfAll(book.ofService("model"), 0)).toEqual(0);
});

// Guards against daemons that go on with an endpoint that told another one.
test("what one daemon heard of leaving takes the endpoint out for another", () => {
  const [one, other] = [createWorld(), createWorld()];
  one.notices.tell(ENTRY, { type: "leaving" });
  const page = one.leavings.page(5_000);
  expect(other.leavings.take(page, 0)).toEqual(true);
  expect(ids(other.book)).toEqual([]);
  expect(other.book.put(ENTRY, 10)).toEqual("has_left");
  expect(other.leavings.checksum).toEqual(one.leavings.checksum);
  expect(other.leavings.take(page, 0)).toEqual(false);
  // A later life is another one, and word is forgotten once the list has told.
  other.book.put({ ...ENTRY, bornAt: 9 }, 10);
  expect(ids(other.book)).toEqual(["i1"]);
  expect(one.leavings.page(70_000)).toEqual([]);
  expect(one.leavings.checksum).toEqual(0);
  expect(one.leavings.take([{ ...ENTRY, ageMilliseconds: 60_000 }], 70_000))
    .toEqual(false);
});
