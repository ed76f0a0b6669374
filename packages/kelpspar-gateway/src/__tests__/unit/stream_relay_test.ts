import { expect } from "earl";
import { test } from "node:test";
import { StreamRelay } from "../../requests/stream_relay.ts";

test("only whole events are returned, and the id of the last one is tracked", () => {
  const relay = new StreamRelay(undefined);
  expect(relay.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda")).toString())
    .toEqual("id: 1\ndata: a\n\n");
  expect(relay.lastEventId).toEqual("1");
  expect(relay.push(Buffer.from("ta: b\n\n")).toString())
    .toEqual("id: 2\ndata: b\n\n");
  expect(relay.lastEventId).toEqual("2");
});

test("a partial event is not joined to the resumed stream", () => {
  // Guards against an event in a resumed stream that no endpoint sent. An
  // endpoint failed in the middle of an event, whose bytes were forwarded before
  // its end had arrived, and another one resumed after the last whole event.
  const relay = new StreamRelay("4");
  expect(relay.push(Buffer.from("id: 5\ndata: ha")).length).toEqual(0);
  relay.dropPartialEvent();
  expect(relay.lastEventId).toEqual("4");
  expect(relay.push(Buffer.from("id: 5\ndata: whole\n\n")).toString())
    .toEqual("id: 5\ndata: whole\n\n");
});

test("a body that ends without a blank line is returned whole", () => {
  const relay = new StreamRelay(undefined);
  relay.push(Buffer.from("plain text"));
  expect(relay.flush().toString()).toEqual("plain text");
});
