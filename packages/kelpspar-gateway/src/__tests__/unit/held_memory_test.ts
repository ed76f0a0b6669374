import type { AddressInfo, Socket } from "node:net";
import type { CallerCut } from "kelpspar-http";
import { expect } from "earl";
import { CallerBudget } from "kelpspar-http";
import { ManualTimer } from "kelpspar-shared";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { FrontServer } from "../../front/front_server.ts";
import { OpenExchanges } from "../../front/open_exchanges.ts";
import { request } from "../support/request_world.ts";

const MEBIBYTE = 1024 * 1024;
const BUDGET_BYTES = 8 * MEBIBYTE;
/** More than the buffers of a loopback connection hold. */
const ANSWER_BYTES = 6 * MEBIBYTE;
const LARGE_ANSWER = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";

let timer: ManualTimer;
let budget: CallerBudget;
let server: FrontServer;
let port = 0;
let cuts: CallerCut[] = [];
let sockets: Socket[] = [];
let served = 0;
/** Resolves when requests to `/wait` may be answered. */
let gate: Promise<void>;
let openGate: () => void;

beforeEach(async () => {
  cuts = [];
  sockets = [];
  served = 0;
  gate = new Promise((resolve) => {
    openGate = resolve;
  });
  timer = new ManualTimer();
  budget = new CallerBudget({
    timer,
    maximumBytes: BUDGET_BYTES,
    onCut: (cut) => cuts.push(cut),
  });
  const probe = createServer().listen(0, "127.0.0.1");
  await once(probe, "listening");
  ({ port } = probe.address() as AddressInfo);
  probe.close();
  server = new FrontServer({
    decode: ({ url }, body) => request({ body, target: url ?? "/" }),
    isLeaving: () => false,
    exchanges: new OpenExchanges(),
    budget,
    serve: async ({ body, target }, reply) => {
      served++;
      if (target === "/wait") await gate;
      const lengths: Readonly<Record<string, number>> = {
        "/large": ANSWER_BYTES,
        "/next": MEBIBYTE / 2,
      };
      const length = lengths[target];
      const answer = length === undefined
        ? Buffer.from(String(body.length))
        : Buffer.alloc(length);
      reply.answer(200, [], answer);
    },
  });
  await server.listen(`127.0.0.1:${port}`);
});

afterEach(() => {
  openGate();
  for (const socket of sockets) socket.destroy();
  server.stopListening();
  server.closeIdleConnections();
});

interface Caller {
  readonly socket: Socket;
  /** What was received until the end of the connection. */
  readonly received: Promise<string>;
}

function open(text: string, body = Buffer.alloc(0)): Caller {
  const socket = connect(port, "127.0.0.1");
  sockets.push(socket);
  let answer = "";
  socket.on("data", (chunk: Buffer) => answer += chunk.toString("latin1"));
  const received = new Promise<string>((resolve) => {
    socket.on("error", () => {});
    socket.on("close", () => resolve(answer));
  });
  socket.write(text);
  socket.write(body);
  return { socket, received };
}

function post(target: string, length: number, headers = ""): string {
  return `POST ${target} HTTP/1.1\r\nHost: a\r\n${headers}Content-Length: ${length}\r\n\r\n`;
}

async function until(isReached: () => boolean): Promise<void> {
  while (!isReached()) await setTimeoutPromise(5);
}

// Guards against bodies that are left open and fill the memory.
test("an open body gives way to another one, with 503 and a close", async () => {
  const left = open(post("/", 4 * MEBIBYTE), Buffer.alloc(3.9 * MEBIBYTE));
  await until(() => budget.bytes > 3.8 * MEBIBYTE);
  await timer.advance(2_000);
  const whole = open(
    post("/", 4 * MEBIBYTE, "Connection: close\r\n"),
    Buffer.alloc(4 * MEBIBYTE),
  );
  expect(await whole.received).toEqual(expect.regex(/ 200 .*4194304$/s));
  const refusal = await left.received;
  expect(refusal).toEqual(expect.regex(/^HTTP\/1\.1 503 /));
  expect(refusal).toEqual(expect.regex(/Retry-After: 1\.000/));
  expect(cuts).toEqual([{ state: "arriving", reason: "no_memory" }]);
  expect(served).toEqual(1);
  expect(budget.bytes).toEqual(0);
});

// Guards against a request that is kept for repeats and doesn't count.
test("a whole body counts until its request has ended", async () => {
  const first = open(
    post("/wait", 4 * MEBIBYTE, "Connection: close\r\n"),
    Buffer.alloc(4 * MEBIBYTE),
  );
  await until(() => served === 1);
  expect(budget.bytes).toEqual(4 * MEBIBYTE);
  const second = open(post("/", 4 * MEBIBYTE));
  expect(await second.received).toEqual(expect.regex(/^HTTP\/1\.1 503 /));
  const small = open(post("/", 4, "Connection: close\r\n"), Buffer.alloc(4));
  expect(await small.received).toEqual(expect.regex(/ 200 .*4$/s));
  openGate();
  expect(await first.received).toEqual(expect.regex(/ 200 .*4194304$/s));
  expect(budget.bytes).toEqual(0);
});

// Guards against answers that nobody reads, which fill the memory, and against
// one that is cut and looks complete.
test("an unread answer gives way to another one, and ends early", async () => {
  const unread = open(LARGE_ANSWER);
  await once(unread.socket, "data");
  unread.socket.pause();
  await until(() => budget.bytes === ANSWER_BYTES);
  await timer.advance(2_000);
  const read = open(LARGE_ANSWER);
  await until(() => cuts.length > 0);
  unread.socket.resume();
  expect((await unread.received).length).toBeLessThan(ANSWER_BYTES);
  expect(cuts).toEqual([{ state: "unread", reason: "no_memory" }]);
  await until(() => read.socket.bytesRead > ANSWER_BYTES);
  await until(() => budget.bytes === 0);
});

// Guards against answers that are held after their caller has gone, and against
// one that is made behind an answer that nobody reads.
test("an unread answer ends with its connection, and none is made behind it", async () => {
  const caller = open(LARGE_ANSWER);
  caller.socket.pause();
  caller.socket.write(LARGE_ANSWER.replace("large", "next"));
  await until(() => budget.bytes === ANSWER_BYTES);
  caller.socket.destroy();
  await until(() => budget.bytes === 0);
  expect(served).toEqual(1);
});

// Guards against a caller that keeps a connection and memory as long as it
// likes, and against one that takes that for an answer of an endpoint.
test("a body that doesn't go on is answered with 408 and a close", async () => {
  const caller = open(post("/", 100), Buffer.alloc(10));
  await until(() => budget.bytes > 0);
  await timer.advance(11_000);
  expect(await caller.received).toEqual(expect.regex(/^HTTP\/1\.1 408 /));
  expect(served).toEqual(0);
});

// Guards against a caller that is asked to send a body that is refused, and
// against its next request being taken for that body.
test("a body that isn't to come is refused before the continue", async () => {
  const expectation = "Expect: 100-continue\r\n";
  const tooLarge = open(post("/", 5 * MEBIBYTE, expectation));
  expect(await tooLarge.received).toEqual(expect.regex(/^HTTP\/1\.1 413 /));
  const kept = open(post("/wait", 4 * MEBIBYTE), Buffer.alloc(4 * MEBIBYTE));
  await until(() => served === 1);
  const refused = open(post("/", 4 * MEBIBYTE, expectation));
  expect(await refused.received).toEqual(expect.regex(/^HTTP\/1\.1 503 /));
  const fits = open(post("/", 4, `${expectation}Connection: close\r\n`));
  await once(fits.socket, "data");
  fits.socket.write("body");
  expect(await fits.received)
    .toEqual(expect.regex(/^HTTP\/1\.1 100 .*HTTP\/1\.1 200 /s));
  kept.socket.destroy();
});
