import type { ServiceRoute } from "../../configuration/service_route.ts";
import type { BodyFraming } from "../../exchange/body_framing.ts";
import type { RelayAnswer } from "../../relay/relay_answer.ts";
import type { ReceivedAnswer } from "../../requests/send_result.ts";
import type { World } from "../support/request_world.ts";
import { expect } from "earl";
import { Readable } from "node:stream";
import { test } from "node:test";
import { createWorld, request, serve } from "../support/request_world.ts";

const LINE_ENDS = ["\n", "\r\n", "\r"] as const;
const ONCE: Partial<ServiceRoute> = {
  kind: "stream",
  isResumable: false,
  stages: [],
};
const RESUMABLE: Partial<ServiceRoute> = { stages: [] };
const EVENT_STREAM = ["Content-Type", "text/event-stream"];

interface AnswerOptions {
  readonly headers?: readonly string[];
  readonly framing?: BodyFraming;
}

/** An answer whose connection ends regularly after these parts. */
function answerOf(
  parts: readonly (string | Buffer)[],
  options: AnswerOptions = {},
): ReceivedAnswer {
  // A socket emits no empty chunks.
  const chunks = parts.filter((part) => part.length > 0);
  const body = Readable.from(chunks.map((part) => Buffer.from(part)));
  return {
    type: "answered",
    status: 200,
    headers: options.headers ?? EVENT_STREAM,
    framing: options.framing ?? "close_delimited",
    body,
    close: () => void body.destroy(),
  };
}

/** Events of a stream; the data has a character of more than one byte. */
function eventsOf(lineEnd: string, firstId = 1): readonly Buffer[] {
  return [1, 2, 3].filter((id) => id >= firstId).map((id) =>
    Buffer.from([`id: ${id}`, `data: á ${id}`, "", ""].join(lineEnd), "utf8")
  );
}

/** Serves one request whose endpoint answers with `bytes`. */
async function serveOnce(bytes: Buffer): Promise<World> {
  const world = createWorld([() => answerOf([bytes])], { route: ONCE });
  await serve(world);
  return world;
}

// Guards against a broken off stream that is framed as complete.
test("a stream that ends inside an event is never completed", async () => {
  for (const lineEnd of LINE_ENDS) {
    const events = eventsOf(lineEnd);
    const bytes = Buffer.concat(events);
    const boundaries = new Set(
      events.map((_, index) =>
        Buffer.concat(events.slice(0, index + 1)).length
      ),
    );
    for (let length = 0; length <= bytes.length; length++) {
      const { reply } = await serveOnce(bytes.subarray(0, length));
      const outcome = { lineEnd, length, end: [reply.status, reply.endState] };
      const expected: typeof outcome.end = boundaries.has(length)
        ? [200, "ended"]
        : length < (events[0]?.length ?? 0)
        ? [502, "ended"]
        : [200, "broken"];
      expect(outcome).toEqual({ lineEnd, length, end: expected });
      if (!boundaries.has(length)) continue;
      expect(reply.text).toEqual(bytes.subarray(0, length).toString());
    }
  }
});

// Guards against a resumable stream that stops where one endpoint broke it off.
test("a resumable stream that ends inside an event goes on elsewhere", async () => {
  for (const lineEnd of LINE_ENDS) {
    const events = eventsOf(lineEnd);
    const bytes = Buffer.concat(events);
    const first = events[0]?.length ?? 0;
    for (let length = 0; length < first * 2; length++) {
      if (length === first) continue;
      const resumedAt = length > first ? 2 : 1;
      const world = createWorld([
        () => answerOf([bytes.subarray(0, length)]),
        () => answerOf(eventsOf(lineEnd, resumedAt)),
      ], { route: RESUMABLE });
      await serve(world);
      expect([length, world.reply.endState]).toEqual([length, "ended"]);
      expect(world.reply.text).toEqual(bytes.toString());
      expect(world.endpointCalls.map(({ lastEventId }) => lastEventId))
        .toEqual([undefined, resumedAt === 1 ? undefined : "1"]);
    }
  }
});

// Guards against events that are held back until a stream ends.
test("each event is forwarded with its last byte, whatever its line ends", async () => {
  for (const lineEnd of LINE_ENDS) {
    const body = new Readable({ read: () => {} });
    const answer = { ...answerOf([]), body };
    const world = createWorld([() => answer], { route: ONCE });
    const served = world.service.serve(request(), world.reply);
    let sent = "";
    for (const event of eventsOf(lineEnd)) {
      for (const byte of event) {
        body.push(Buffer.from([byte]));
        await world.timer.settle();
      }
      sent += event.toString();
      expect(world.reply.text).toEqual(sent);
    }
    body.push(null);
    await served;
    expect(world.reply.endState).toEqual("ended");
  }
});

// Guards against a whole stream that is taken for a broken off one.
test("blank lines and comments after the last event don't break a stream", async () => {
  for (const lineEnd of LINE_ENDS) {
    const event = `id: 1${lineEnd}data: a${lineEnd}${lineEnd}`;
    for (const rest of [lineEnd, `: bye${lineEnd}${lineEnd}`]) {
      const { reply } = await serveOnce(Buffer.from(event + rest));
      expect([reply.text, reply.endState]).toEqual([event + rest, "ended"]);
    }
  }
});

// Guards against an answer without events that is taken for a broken off one.
test("an answer that isn't an event stream is forwarded whole", async () => {
  const world = createWorld([
    () =>
      answerOf(['{"a":', "1}"], { headers: ["content-type", "text/plain"] }),
  ], { route: ONCE });
  await serve(world);
  expect([world.reply.text, world.reply.endState]).toEqual([
    '{"a":1}',
    "ended",
  ]);
});

// Guards against an empty answer that the endpoint framed and that is retried.
test("an empty answer is complete if its framing says so", async () => {
  for (const framing of ["content_length", "chunked", "no_body"] as const) {
    const world = createWorld([() => answerOf([], { framing })], {
      route: ONCE,
    });
    await serve(world);
    expect([world.reply.status, world.reply.endState]).toEqual([200, "ended"]);
  }
});

// Guards against a failure for a caller that lacks only the end of its stream.
test("an empty rest of a stream is complete if a second endpoint agrees", async () => {
  for (const [rest, status] of [["", 200], ["id: 4\n", 502]] as const) {
    const world = createWorld([
      () => answerOf([]),
      () => answerOf([rest]),
    ], { route: RESUMABLE });
    await serve(world, request({ lastEventId: "3" }));
    expect([world.reply.status, world.reply.text]).toEqual([status, ""]);
    expect(world.endpointCalls.length).toEqual(2);
  }
});

// Guards against a broken off event stream that a daemon holds back and returns.
test("a buffered event stream that ends inside an event is retried", async () => {
  const whole = "data: a\r\n\r\n";
  const world = createWorld([
    () => answerOf(["data: a\r\n"]),
    () => answerOf([whole]),
  ], { route: { kind: "idempotent", isResumable: false, stages: [] } });
  await serve(world);
  expect(world.endpointCalls.length).toEqual(2);
  expect([world.reply.status, world.reply.text]).toEqual([200, whole]);
});

// Guards against a broken off stream that another daemon relays.
test("a relayed stream that ends inside an event goes on at the next daemon", async () => {
  const answers: RelayAnswer[] = [
    { type: "answered", answer: answerOf(["id: 1\ndata: a\n\nid: 2\n"]) },
    { type: "answered", answer: answerOf(["id: 2\ndata: b\n\n"]) },
  ];
  const world = createWorld([], {
    route: RESUMABLE,
    relay: {
      isNeeded: true,
      verified: () => Promise.resolve(true),
      choosePeer: (tried) => {
        const daemonId = ["d2", "d3"].find((id) => !tried.has(id));
        if (daemonId === undefined) return undefined;
        return { daemonId, front: "", peer: daemonId, zone: "a", cores: 1 };
      },
      send: () =>
        Promise.resolve(
          answers.shift() ?? { type: "unknown", reason: "no answer is left" },
        ),
    },
  });
  await serve(world);
  expect([world.reply.text, world.reply.endState]).toEqual([
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    "ended",
  ]);
});
