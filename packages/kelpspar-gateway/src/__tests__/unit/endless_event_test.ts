import type { EndpointAnswer } from "../../requests/endpoint_call.ts";
import type { World } from "../support/request_world.ts";
import { expect } from "earl";
import fc from "fast-check";
import { Readable } from "node:stream";
import { test } from "node:test";
import { endsWithWholeEvent } from "../../requests/event_stream.ts";
import { StreamRelay } from "../../requests/stream_relay.ts";
import { createWorld, request, stream } from "../support/request_world.ts";

const EVENT_BYTES = 1024 * 1024;
const CHUNK_BYTES = 64 * 1024;
const SMALL_CHUNK_BYTES = 15;
/** Silence after which a stream goes on elsewhere: no chunk may take so long. */
const IDLE_MILLISECONDS = 1_500;
const OBJECTIVE_MILLISECONDS = 1_000;
const ROUTE = { stages: [], objectiveMilliseconds: OBJECTIVE_MILLISECONDS };
const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const RUNS = 3_000;

const ENDED: EndpointAnswer = stream();

function answerWith(body: Readable): EndpointAnswer {
  return { ...ENDED, body, close: () => void body.destroy() } as EndpointAnswer;
}

/** The rules of line ends, applied to all bytes since the last whole event. */
const BLANK_LINE =
  /\r\n(?:\r\n|\n|\r(?=[^\n]))|(?:(?<!\r)\n|\r(?!\n))(?:\r\n|\r|\n)/g;

function endOfEvents(text: string): number {
  if (!text.includes("\r")) {
    const index = text.lastIndexOf("\n\n");
    return index < 0 ? 0 : index + "\n\n".length;
  }
  const last = [...text.matchAll(BLANK_LINE)].at(-1);
  return last === undefined ? 0 : last.index + last[0].length;
}

const bytesOfStream = fc.array(
  fc.constantFrom("\r", "\n", "\r\n", "\n\n", "\r\n\r\n", "a", "id: 1", ":"),
  { maxLength: 16 },
).map((parts) => parts.join(""));

// Guards against an event that ends elsewhere when its bytes come in parts.
test("events of any line ends in chunks of any size end where they did", () => {
  fc.assert(
    fc.property(
      bytesOfStream,
      fc.array(fc.integer({ min: 1, max: 7 })),
      (text, sizes) => {
        const relay = new StreamRelay(undefined);
        let partial = "";
        for (let from = 0, index = 0; from < text.length; index++) {
          const size = sizes[index] ?? 1;
          const chunk = text.slice(from, from + size);
          from += size;
          const received = partial + chunk;
          const end = endOfEvents(received);
          partial = received.slice(end);
          const events = relay.push(Buffer.from(chunk)).toString();
          expect(events).toEqual(received.slice(0, end));
          expect(relay.isInsideEvent).toEqual(/[^\r\n]/.test(partial));
        }
        expect(relay.flush().toString()).toEqual(partial);
      },
    ),
    { numRuns: RUNS },
  );
});

// Guards against a whole event stream that is taken for a broken off one.
test("a body ends with a whole event if nothing follows its last one", () => {
  fc.assert(
    fc.property(bytesOfStream, (text) => {
      const isPartial = /[^\r\n]/.test(text.slice(endOfEvents(text)));
      expect(endsWithWholeEvent(Buffer.from(text))).toEqual(!isPartial);
    }),
    { numRuns: RUNS },
  );
});

// Guards against work that grows with the square of an event's length.
test("an event in many small chunks is searched in time", () => {
  for (const byte of ["x", "\r\nx"]) {
    const relay = new StreamRelay(undefined);
    const chunk = Buffer.alloc(SMALL_CHUNK_BYTES, byte);
    const startedAt = process.cpuUsage();
    let events = 0;
    for (let sent = SMALL_CHUNK_BYTES; sent < EVENT_BYTES;) {
      events += relay.push(chunk).length;
      sent += SMALL_CHUNK_BYTES;
    }
    expect(events).toEqual(0);
    const { user, system } = process.cpuUsage(startedAt);
    expect((user + system) / 1_000).toBeLessThan(IDLE_MILLISECONDS);
  }
});

// Guards against an event without end that starves the daemon.
test("a stream goes on elsewhere when an event exceeds its size", async () => {
  let sent = 0;
  const endless = new Readable({
    read(): void {
      if (sent === 0) this.push(FIRST);
      sent += CHUNK_BYTES;
      this.push(sent > 2 * EVENT_BYTES ? null : Buffer.alloc(CHUNK_BYTES, "x"));
    },
  });
  const world = createWorld([() => answerWith(endless), () => stream(SECOND)], {
    route: ROUTE,
  });
  await world.service.serve(request(), world.reply);
  expect([world.reply.text, world.reply.endState])
    .toEqual([FIRST + SECOND, "ended"]);
  expect(world.endpointCalls[1]?.lastEventId).toEqual("1");
  expect(reasonsOf(world)).toEqual([`${firstOf(world)} endless_event`]);
  expect(sent).toBeLessThanOrEqual(EVENT_BYTES + 4 * CHUNK_BYTES);
});

// Guards against an event that never ends and is no silence either.
test("a stream goes on elsewhere when an event takes too long", async () => {
  const slow = new Readable({ read: () => {} });
  const world = createWorld([() => answerWith(slow), () => stream(SECOND)], {
    route: ROUTE,
  });
  const served = world.service.serve(request(), world.reply);
  await world.timer.settle();
  slow.push(FIRST);
  const stop = world.timer.registerInterval(() => slow.push("x"), 100);
  await world.timer.advance(2 * OBJECTIVE_MILLISECONDS);
  expect(world.reply.text).toEqual(FIRST);
  await world.timer.advance(200);
  stop();
  slow.push(null);
  await served;
  expect([world.reply.text, world.reply.endState])
    .toEqual([FIRST + SECOND, "ended"]);
  expect(reasonsOf(world)).toEqual([`${firstOf(world)} slow_event`]);
});

function firstOf(world: World): string | undefined {
  return world.endpointCalls[0]?.endpoint.id;
}

function reasonsOf({ logLines }: World): unknown[] {
  return logLines.filter(({ message }) => message === "malformed answer")
    .map(({ fields }) => `${fields["sender"]} ${fields["reason"]}`);
}
