import type { RequestReply } from "../../requests/request_reply.ts";
import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import {
  FRONT_BODY_BYTES,
  FrontFixture,
  pollSockets,
  RawCaller,
  waitFor,
} from "../support/front_fixture.ts";

const RUNS = 60;
const POLLS = 50;
/** One read of a connection, bytes. */
const READ_BYTES = 64 * 1024;
const LARGE_ANSWER = Buffer.alloc(300 * 1024, "y");

function get(target: string): string {
  return `GET ${target} HTTP/1.1\r\nHost: a\r\n\r\n`;
}

/** Targets that have been answered, as each answer names its own. */
function answered(text: string): readonly string[] {
  return [...text.matchAll(/X-Target: (\S+)/g)].map(([, target]) =>
    target ?? ""
  );
}

function answer(reply: RequestReply, target: string, body = "ok"): void {
  reply.answer(200, ["X-Target", target], Buffer.from(body));
}

// Guards against a connection to an endpoint for every pipelined request.
test("requests of one connection run one at a time and in order", async () => {
  let running = 0;
  let mostRunning = 0;
  const fixture = await FrontFixture.start(async ({ target }, reply) => {
    mostRunning = Math.max(mostRunning, ++running);
    await pollSockets(3);
    running--;
    answer(reply, target);
  });
  const caller = new RawCaller(fixture.port);
  const targets = Array.from({ length: 200 }, (_, index) => `/${index}`);
  caller.socket.write(targets.map(get).join(""));
  await waitFor(() => caller.statuses.length === targets.length);
  expect(answered(caller.text)).toEqual(targets);
  expect(mostRunning).toEqual(1);
  caller.socket.destroy();
  fixture.stop();
});

// Guards against requests that are parsed and kept without a bound while one
// is in progress, and against a connection that stays paused after it.
test("a connection with waiting requests isn't read on until it has served them", async () => {
  const count = 8_000;
  let release = (): void => {};
  const isReleased = new Promise<void>((resolve) => release = resolve);
  const fixture = await FrontFixture.start(async ({ target }, reply) => {
    await isReleased;
    answer(reply, target, "");
  });
  const caller = new RawCaller(fixture.port);
  const targets = Array.from({ length: count }, (_, index) => `/${index}`);
  const text = targets.map(get).join("");
  caller.socket.write(text);
  await waitFor(() => fixture.exchanges.count > 0);
  await pollSockets(POLLS);
  const mostInOneRead = READ_BYTES / get("/0").length;
  expect(fixture.exchanges.count <= mostInOneRead + 6).toEqual(true);
  release();
  await waitFor(() => caller.text.includes(`X-Target: /${count - 1}\r\n`));
  expect(answered(caller.text)).toEqual(targets);
  caller.socket.destroy();
  await waitFor(() => fixture.exchanges.count === 0);
  fixture.stop();
});

// Guards against requests that run for a caller who has given them up.
test("a pipelined request whose connection closes before its turn never runs", async () => {
  const served: string[] = [];
  let release = (): void => {};
  const isReleased = new Promise<void>((resolve) => release = resolve);
  const fixture = await FrontFixture.start(async ({ target }, reply) => {
    served.push(target);
    await isReleased;
    answer(reply, target);
  });
  for (const isReset of [false, true]) {
    const caller = new RawCaller(fixture.port);
    caller.socket.write(["/1", "/2", "/3", "/4"].map(get).join(""));
    await waitFor(() => fixture.exchanges.count === 4);
    if (isReset) caller.socket.resetAndDestroy();
    else caller.socket.destroy();
    await waitFor(() => fixture.exchanges.count === 0);
  }
  release();
  await pollSockets(POLLS);
  expect(served).toEqual(["/1", "/1"]);
  fixture.stop();
});

// Guards against hundreds of waiting requests that run for a caller who is
// gone, while its connection isn't read.
test("a caller that goes with hundreds of requests waiting is noticed", async () => {
  const served: string[] = [];
  let release = (): void => {};
  const isReleased = new Promise<void>((resolve) => release = resolve);
  const fixture = await FrontFixture.start(async ({ target }, reply) => {
    served.push(target);
    await isReleased;
    answer(reply, target);
  });
  const caller = new RawCaller(fixture.port);
  caller.socket.write(get("/1").repeat(500));
  await waitFor(() => fixture.exchanges.count === 500);
  caller.socket.destroy();
  await pollSockets(POLLS);
  release();
  await waitFor(() => fixture.exchanges.count === 0);
  expect(served.length <= 3).toEqual(true);
  fixture.stop();
});

// Guards against a connection whose abandoned request leaves others waiting.
test("a request that fails closes its connection and runs none after it", async () => {
  const served: string[] = [];
  const fixture = await FrontFixture.start(async ({ target }, reply) => {
    served.push(target);
    await pollSockets(2);
    reply.begin(200, []);
    await reply.write(Buffer.from("part"));
    reply.abort();
  });
  const caller = new RawCaller(fixture.port);
  caller.socket.write(get("/1").repeat(30));
  await waitFor(() => caller.isClosed);
  await waitFor(() => fixture.exchanges.count === 0);
  expect(served).toEqual(["/1"]);
  fixture.stop();
});

// Guards against callers that fill the memory with waiting requests.
test("waiting requests of all connections are bounded", async () => {
  let release = (): void => {};
  const isReleased = new Promise<void>((resolve) => release = resolve);
  const fixture = await FrontFixture.start(async ({ target }, reply) => {
    await isReleased;
    answer(reply, target);
  });
  const ordinary = new RawCaller(fixture.port);
  ordinary.socket.write(get("/1") + get("/2"));
  await waitFor(() => fixture.exchanges.count === 2);
  const callers = Array.from(
    { length: 20 },
    () => new RawCaller(fixture.port),
  );
  for (const { socket } of callers) socket.write(get("/1").repeat(600));
  await waitFor(() => callers.filter(({ isClosed }) => isClosed).length >= 13);
  await pollSockets(POLLS);
  expect(fixture.exchanges.count <= 4_000 + callers.length + 2).toEqual(true);
  expect(ordinary.isClosed).toEqual(false);
  for (const { socket } of [ordinary, ...callers]) socket.destroy();
  release();
  await waitFor(() => fixture.exchanges.count === 0);
  fixture.stop();
});

// Guards against a caller that is told to send its body before its turn.
test("a pipelined request is told to continue in its turn", async () => {
  let release = (): void => {};
  const isReleased = new Promise<void>((resolve) => release = resolve);
  const fixture = await FrontFixture.start(async ({ target, body }, reply) => {
    if (target === "/1") await isReleased;
    answer(reply, target, Buffer.from(body).toString());
  });
  const caller = new RawCaller(fixture.port);
  caller.socket.write(
    `${get("/1")}POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n` +
      "Content-Length: 4\r\n\r\n",
  );
  await waitFor(() => fixture.exchanges.count === 2);
  await pollSockets(POLLS);
  expect(caller.statuses).toEqual([]);
  release();
  await waitFor(() => caller.statuses.length === 2);
  expect(caller.statuses).toEqual(["200", "100"]);
  caller.socket.write("body");
  await waitFor(() => caller.text.endsWith("body"));
  caller.socket.destroy();
  fixture.stop();
});

const pipelined = fc.record({
  kind: fc.constantFrom("get", "length", "chunks", "continue", "large"),
  size: fc.nat({ max: FRONT_BODY_BYTES - 1 }),
  polls: fc.nat({ max: 3 }),
});

function encode(
  { kind, size }: { readonly kind: string; readonly size: number },
  target: string,
): string {
  const body = "x".repeat(size);
  const head = `POST ${target} HTTP/1.1\r\nHost: a\r\n`;
  if (kind === "length") return `${head}Content-Length: ${size}\r\n\r\n${body}`;
  if (kind === "continue") {
    return `${head}Expect: 100-continue\r\nContent-Length: ${size}\r\n\r\n${body}`;
  }
  if (kind !== "chunks") return get(target);
  const parts = body.match(/.{1,700}/g) ?? [];
  const chunks = parts.map((part) =>
    `${part.length.toString(16)}\r\n${part}\r\n`
  );
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks.join("")}0\r\n\r\n`;
}

// Guards against a connection that stays paused for good, as its reading is
// paused for bodies, for answers that aren't read and for waiting requests.
test("any series of pipelined requests is answered whole and in order", async () => {
  let waits: readonly number[] = [];
  let isLarge: readonly boolean[] = [];
  const fixture = await FrontFixture.start(
    async ({ target, body }, reply) => {
      const index = Number(target.slice(1));
      await pollSockets(waits[index] ?? 0);
      const headers = ["X-Target", target, "X-Length", String(body.length)];
      reply.answer(
        200,
        headers,
        isLarge[index] === true ? LARGE_ANSWER : Buffer.alloc(0),
      );
    },
  );
  await fc.assert(
    fc.asyncProperty(
      fc.array(pipelined, { minLength: 1, maxLength: 40 }),
      fc.boolean(),
      async (requests, readsSlowly) => {
        waits = requests.map(({ polls }) => polls);
        isLarge = requests.map(({ kind }) => kind === "large");
        const caller = new RawCaller(fixture.port);
        const targets = requests.map((_, index) => `/${index}`);
        caller.socket.write(
          requests.map((each, index) => encode(each, `/${index}`)).join(""),
        );
        if (readsSlowly) {
          caller.socket.pause();
          await pollSockets(POLLS);
          caller.socket.resume();
        }
        await waitFor(() =>
          answered(caller.text).length === targets.length || caller.isClosed
        );
        expect(answered(caller.text)).toEqual(targets);
        const lengths = [...caller.text.matchAll(/X-Length: (\d+)/g)]
          .map(([, length]) => Number(length));
        expect(lengths).toEqual(
          requests.map(({ kind, size }) =>
            kind === "get" || kind === "large" ? 0 : size
          ),
        );
        caller.socket.destroy();
      },
    ),
    { numRuns: RUNS },
  );
  fixture.stop();
});
