import type { IncomingMessage, Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { BodyFailure, ReceivedBody } from "../../receive_body.ts";
import { expect } from "earl";
import { SystemTimer } from "kelpspar-shared";
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { createServer } from "node:http";
import { connect } from "node:net";
import { PassThrough } from "node:stream";
import { afterEach, beforeEach, test } from "node:test";
import { setImmediate as setImmediatePromise } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { BodyBuffer } from "../../body_buffer.ts";
import { CallerBudget } from "../../caller_budget.ts";
import { receiveBody } from "../../receive_body.ts";
import { SEGMENT_BYTES, SegmentPool } from "../../segment_pool.ts";

const MAXIMUM_BYTES = 10_000;

const budget = new CallerBudget({ timer: new SystemTimer() });
let server: Server;
let port = 0;
let received: Promise<ReceivedBody | BodyFailure>[] = [];

beforeEach(async () => {
  received = [];
  server = createServer((message, response) => {
    const body = receiveBody(message, { maximumBytes: MAXIMUM_BYTES, budget });
    received.push(body);
    void body.then(() => response.end());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  port = (server.address() as AddressInfo).port;
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

async function send(text: string): Promise<string | undefined> {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write(`POST / HTTP/1.1\r\nHost: a\r\n${text}`);
  await once(server, "request");
  if (text.endsWith("cut")) socket.destroy();
  const body = await received[0];
  socket.destroy();
  if (typeof body !== "object") return body;
  body.release();
  expect(budget.bytes).toEqual(0);
  return String(body.bytes);
}

/** A message that declares `headers` and whose body is `stream`. */
function createMessage(
  stream: PassThrough,
  headers: Readonly<Record<string, string>>,
): IncomingMessage {
  return Object.assign(stream, {
    headers,
    socket: {},
  }) as unknown as IncomingMessage;
}

test("a body is received with a length and in chunks", async () => {
  expect(await send("Content-Length: 4\r\n\r\nbody")).toEqual("body");
  received = [];
  const chunks = [..."body"].map((text) => `1\r\n${text}\r\n`).join("");
  const head = "Transfer-Encoding: chunked\r\n\r\n";
  expect(await send(`${head}${chunks}0\r\n\r\n`)).toEqual("body");
});

// Guards against a body beyond the limit that is held all the same.
test("a body beyond the limit is given up, declared or not", async () => {
  const length = MAXIMUM_BYTES + 1;
  expect(await send(`Content-Length: ${length}\r\n\r\n`)).toEqual("too_large");
  received = [];
  const chunk = `${length.toString(16)}\r\n${"x".repeat(length)}\r\n`;
  expect(await send(`Transfer-Encoding: chunked\r\n\r\n${chunk}`))
    .toEqual("too_large");
});

// Guards against a truncated body that is served as a whole one.
test("a body whose connection closes is cut", async () => {
  expect(await send("Content-Length: 10\r\n\r\ncut")).toEqual("cut");
});

// Guards against an object of the parser for each byte of a body, which held a
// hundred times its bytes and ended the process.
test("chunks of one byte aren't kept", async () => {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const stream = new PassThrough();
  const body = receiveBody(createMessage(stream, {}), {
    maximumBytes: MAXIMUM_BYTES,
    budget,
  });
  const chunks: WeakRef<Buffer>[] = [];
  for (let count = 0; count < 1_000; count++) {
    const chunk = Buffer.alloc(1, "x");
    chunks.push(new WeakRef(chunk));
    stream.write(chunk);
    await setImmediatePromise();
  }
  collect();
  const kept = chunks.filter((chunk) => chunk.deref() !== undefined).length;
  stream.end();
  expect(budget.bytes).toBeLessThanOrEqual(2_000);
  const { bytes, release } = await body as ReceivedBody;
  release();
  expect(bytes.length).toEqual(1_000);
  // The stream itself may hold the last one.
  expect(kept).toBeLessThanOrEqual(2);
});

// Guards against memory for twice a body, or for bodies that were given up.
test("a body is held once, and its memory is used again", () => {
  const buffer = new BodyBuffer();
  const sent = randomBytes(5 * SEGMENT_BYTES + 1);
  for (let start = 0; start < sent.length; start += 999) {
    buffer.append(sent.subarray(start, start + 999));
    const { length, capacity } = buffer;
    expect(capacity).toBeLessThanOrEqual(
      length <= SEGMENT_BYTES ? 2 * length : length + SEGMENT_BYTES,
    );
  }
  expect(buffer.take().equals(sent)).toEqual(true);
  expect(buffer.capacity).toEqual(0);
  const pool = new SegmentPool();
  const segment = pool.take();
  pool.giveBack([segment]);
  expect(pool.take() === segment).toEqual(true);
});
