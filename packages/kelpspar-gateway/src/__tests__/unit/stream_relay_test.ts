import { expect } from "earl";
import { test } from "node:test";
import { StreamRelay } from "../../requests/stream_relay.ts";

test("only whole events pass, and the last one's id is kept", () => {
  const relay = new StreamRelay(undefined);
  expect(relay.take(Buffer.from("id: 1\ndata: a\n\nid: 2\nda")).toString())
    .toEqual("id: 1\ndata: a\n\n");
  expect(relay.lastEventId).toEqual("1");
  expect(relay.take(Buffer.from("ta: b\n\n")).toString())
    .toEqual("id: 2\ndata: b\n\n");
  expect(relay.lastEventId).toEqual("2");
});

test("half an event is not joined to what goes on elsewhere", () => {
  // Symptom: a resumed stream held an event that neither endpoint sent.
  // Sequence: an endpoint stopped in the middle of an event; the stream went
  // on at another one after the last whole event.
  // Cause: the half event's bytes were passed on before its end was there.
  const relay = new StreamRelay("4");
  expect(relay.take(Buffer.from("id: 5\ndata: ha")).length).toEqual(0);
  relay.dropRest();
  expect(relay.lastEventId).toEqual("4");
  expect(relay.take(Buffer.from("id: 5\ndata: whole\n\n")).toString())
    .toEqual("id: 5\ndata: whole\n\n");
});

test("a body that ends without a blank line is passed whole", () => {
  const relay = new StreamRelay(undefined);
  relay.take(Buffer.from("plain text"));
  expect(relay.takeRest().toString()).toEqual("plain text");
});
