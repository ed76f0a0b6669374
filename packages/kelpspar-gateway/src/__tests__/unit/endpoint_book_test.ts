import type { EndpointEntry } from "../../endpoints/endpoint_entry.ts";
import { expect } from "earl";
import { test } from "node:test";
import { EndpointBook } from "../../endpoints/endpoint_registry.ts";

function createBook(): EndpointBook {
  return new EndpointBook();
}

function entry(id: string, isDraining = false, bornAt = 1): EndpointEntry {
  return {
    id,
    bornAt,
    service: "model",
    address: "10.0.0.1:80",
    zone: "a",
    slots: 4,
    isDraining,
  };
}

function idsOf(book: EndpointBook): readonly string[] {
  return book.ofService("model").map((state) => state.entry.id);
}

test("an endpoint that said it is leaving never comes back", () => {
  // Symptom: requests reached an endpoint seconds after it began to drain.
  // Sequence: its entry said draining; the store's history was dropped; a
  // stale reader gave the whole table as it was before.
  // Cause: the last entry read was believed, however old it was.
  const book = createBook();
  book.put(entry("i1"), 0);
  book.put(entry("i1", true), 0);
  book.put(entry("i1"), 0);
  expect(idsOf(book)).toEqual([]);
});

test("an entry that is removed in quiet times is gone for good", () => {
  const book = createBook();
  book.put(entry("i1"), 0);
  book.miss("i1", undefined);
  book.put(entry("i1"), 0);
  expect(idsOf(book)).toEqual([]);
});

test("an entry that lapsed while the store was away may come back", () => {
  // Symptom: after an outage of the store no endpoint was left.
  // Sequence: heartbeats failed, entries lapsed, the store came back and told
  // of the removals first and of the renewed entries a second later.
  // Cause: a removal was taken for the endpoint's end.
  const book = createBook();
  book.put(entry("i1"), 0);
  book.put(entry("i2"), 0);
  book.miss("i1", 2_000);
  book.miss("i2", 2_000);
  book.sweep(1_500);
  expect(idsOf(book)).toEqual(["i1", "i2"]);
  book.put(entry("i1"), 0);
  book.sweep(2_001);
  expect(idsOf(book)).toEqual(["i1"]);
});

test("listeners hear once that an endpoint is gone", () => {
  const book = createBook();
  const gone: string[] = [];
  const teardown = book.registerGone((id) => gone.push(id));
  book.put(entry("i1"), 0);
  book.leave(entry("i1"));
  book.leave(entry("i1"));
  teardown();
  book.put(entry("i2"), 0);
  book.leave(entry("i2"));
  expect(gone).toEqual(["i1"]);
});

test("an endpoint that starts again under its id is a new one", () => {
  // Symptom: requests were sent handles and prompts that the endpoint didn't
  // have, and its old failures kept it from getting work.
  // Sequence: it crashed and started again under its id; its entry changed.
  // Cause: an entry under a known id was taken for the same endpoint.
  const book = createBook();
  const gone: string[] = [];
  book.registerGone((id) => gone.push(id));
  book.put(entry("i1"), 0);
  const first = book.find("i1");
  first?.failed(true, 0);
  book.put(entry("i1", false, 2), 0);
  expect(gone).toEqual(["i1"]);
  expect(first?.ended.aborted).toEqual(true);
  expect(book.find("i1") === first).toEqual(false);
  expect(book.find("i1")?.isSetAside(1)).toEqual(false);
  expect(idsOf(book)).toEqual(["i1"]);
});

test("word of an earlier life doesn't count, and a later life may follow a leaving", () => {
  // Symptom: an endpoint that had just started again was taken out.
  // Sequence: its life before had said it was leaving; a slow reader brought
  // that entry after the new life's.
  // Cause: leaving was judged by the id alone.
  const book = createBook();
  book.put(entry("i1"), 0);
  book.put(entry("i1", true), 0);
  book.put(entry("i1", false, 2), 0);
  book.put(entry("i1", true), 0);
  book.put(entry("i1"), 0);
  book.leave(entry("i1"));
  expect(idsOf(book)).toEqual(["i1"]);
  expect(book.find("i1")?.entry.bornAt).toEqual(2);
  book.heardBirth({ id: "i1", bornAt: 1 }, 0);
  expect(book.find("i1")?.entry.bornAt).toEqual(2);
  book.heardBirth({ id: "i1", bornAt: 3 }, 0);
  expect(book.find("i1")?.entry.bornAt).toEqual(3);
});

test("an old entry of a life that was never known doesn't replace a newer one", () => {
  // Symptom: an endpoint was called at the address of its life before.
  // Sequence: a daemon that had just started read the newest entry, then a
  // stale page with the one before.
  // Cause: only lives that were seen to end were known to be over.
  const book = createBook();
  book.put({ ...entry("i1", false, 2), address: "10.0.0.2:80" }, 0);
  book.put(entry("i1", false, 1), 0);
  expect(book.find("i1")?.entry.address).toEqual("10.0.0.2:80");
});

test("a life that was missing isn't used again beside a later one", () => {
  // An endpoint's entry lapsed, it started again under its id, and a heartbeat
  // of the life before arrived last: that entry stayed listed until the later
  // life wrote its own, and the life before was used again in its place.
  const book = createBook();
  book.put(entry("i1"), 0);
  book.miss("i1", undefined);
  book.put(entry("i1", false, 2), 1_000);
  book.put(entry("i1"), 2_000);
  expect(book.readmit(9_000)).toEqual([]);
  expect(book.find("i1")?.entry.bornAt).toEqual(2);
});

test("an endpoint that was missing is used again once it stays listed", () => {
  const book = createBook();
  book.put(entry("i1"), 0);
  book.miss("i1", undefined);
  expect(book.put(entry("i1"), 1_000)).toEqual("listed_again");
  expect(book.put(entry("i1"), 2_000)).toEqual("has_left");
  expect(book.readmit(999)).toEqual([]);
  book.miss("i1", undefined);
  book.put(entry("i1"), 3_000);
  book.listReturned(4_000);
  expect(book.readmit(3_999)).toEqual([]);
  expect(book.readmit(4_000).map(({ id }) => id)).toEqual(["i1"]);
  expect(idsOf(book)).toEqual(["i1"]);
});
