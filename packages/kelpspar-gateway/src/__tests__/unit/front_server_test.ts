import type { AddressInfo } from "node:net";
import { expect } from "earl";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { FrontServer } from "../../front/front_server.ts";
import { MAXIMUM_DISCARDED_BYTES } from "../../front/discard_body.ts";
import { OpenExchanges } from "../../front/open_exchanges.ts";
import { request } from "../support/request_world.ts";

const LIMIT_BYTES = 1_000;
/** Far more than the buffers of a connection hold. */
const LARGE_BYTES = 12 * 1024 * 1024;
const CHUNK = Buffer.alloc(64 * 1024, "x");
const SECOND = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";

const LARGE_ANSWER = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";

let server: FrontServer;
let address: AddressInfo;
let isLeaving = false;
const exchanges = new OpenExchanges();

before(async () => {
  const probe = createServer().listen(0, "127.0.0.1");
  await once(probe, "listening");
  address = probe.address() as AddressInfo;
  probe.close();
  server = new FrontServer({
    decode: ({ url }, body) => request({ body, target: url ?? "/" }),
    isLeaving: () => isLeaving,
    exchanges,
    serve: async ({ body, target }, reply) => {
      if (target !== "/cut") {
        const answer = target === "/large" ? Buffer.alloc(LARGE_BYTES) : body;
        reply.answer(200, [], answer);
        return;
      }
      reply.begin(200, []);
      await reply.write(Buffer.from("part"));
      reply.abort();
    },
  });
  server.limits = {
    headerBytes: 10_000,
    bodyBytes: LIMIT_BYTES,
    headerTimeoutMilliseconds: 5_000,
    idleTimeoutMilliseconds: 5_000,
  };
  await server.listen(`127.0.0.1:${address.port}`);
});

after(() => {
  server.stopListening();
  server.closeIdleConnections();
});

/** Sends a body, and a second request after it; returns all that is answered. */
async function send(
  bytes: number,
  isChunked: boolean,
): Promise<{ readonly text: string; readonly end: string }> {
  const socket = connect(address.port, "127.0.0.1");
  let text = "";
  socket.on("data", (chunk) => {
    text += chunk.toString();
    if (text.endsWith("\r\n\r\nok")) socket.destroy();
  });
  const end = new Promise<string>((resolve) => {
    socket.on("error", (error) => resolve(error.message));
    socket.on("close", () => resolve("closed"));
  });
  const framing = isChunked
    ? "Transfer-Encoding: chunked"
    : `Content-Length: ${bytes}`;
  socket.write(`POST / HTTP/1.1\r\nHost: a\r\n${framing}\r\n\r\n`);
  for (let sent = 0; sent < bytes && !socket.destroyed; sent += CHUNK.length) {
    if (isChunked) socket.write(`${CHUNK.length.toString(16)}\r\n`);
    const isWritable = socket.write(CHUNK);
    if (isChunked) socket.write("\r\n");
    if (!isWritable) await Promise.race([once(socket, "drain"), end]);
  }
  if (isChunked) socket.write("0\r\n\r\n");
  socket.write(SECOND);
  return { end: await end, text };
}

function statuses(text: string): readonly string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) =>
    status ?? ""
  );
}

// Guards against a reset connection instead of an answer, which callers retry
// at other daemons.
for (const isChunked of [false, true]) {
  const framing = isChunked ? "in chunks" : "of a declared length";
  test(`a body ${framing} that is too large is answered with 413`, async () => {
    const { text } = await send(LARGE_BYTES, isChunked);
    expect(statuses(text)).toEqual(["413", "200"]);
  });
}

// Guards against callers that keep a daemon reading without end.
test("a connection with far too large a body ends after the 413", async () => {
  const { text } = await send(2 * MAXIMUM_DISCARDED_BYTES, true);
  expect(statuses(text)).toEqual(["413"]);
});

// Guards against an answer lost by closing the connection while it still sends.
test("a leaving daemon answers a body that is too large", async () => {
  isLeaving = true;
  const { text } = await send(LARGE_BYTES, false);
  expect(statuses(text)).toEqual(["413", "200"]);
});

// Guards against a process that never ends after a caller is gone.
test("exchanges end with their connection, also pipelined ones", async () => {
  const socket = connect(address.port, "127.0.0.1");
  socket.write(LARGE_ANSWER + LARGE_ANSWER);
  await once(socket, "readable");
  expect(exchanges.count).toEqual(2);
  socket.destroy();
  await setTimeoutPromise(50);
  expect(exchanges.count).toEqual(0);
});

// Guards against a process that exits with open answers, since those that were
// cut counted twice.
test("an exchange that is cut ends once", async () => {
  const open = connect(address.port, "127.0.0.1");
  open.write(LARGE_ANSWER);
  await once(open, "readable");
  for (let count = 0; count < 3; count++) {
    const cut = connect(address.port, "127.0.0.1");
    cut.on("error", () => {});
    cut.resume();
    cut.write("GET /cut HTTP/1.1\r\nHost: a\r\n\r\n");
    await once(cut, "close");
  }
  await setTimeoutPromise(50);
  expect(exchanges.count).toEqual(1);
  open.destroy();
  await setTimeoutPromise(50);
  expect(exchanges.count).toEqual(0);
});

// Guards against an answer that is cut because its caller reads slowly.
test("an answer that isn't read yet stays open when the server closes", async () => {
  const socket = connect(address.port, "127.0.0.1");
  socket.write(LARGE_ANSWER);
  await once(socket, "readable");
  socket.pause();
  await setTimeoutPromise(50);
  expect(exchanges.count).toEqual(1);
  server.stopListening();
  let received = 0;
  socket.on("data", (chunk: Buffer) => received += chunk.length);
  socket.resume();
  await once(socket, "close");
  expect(received > LARGE_BYTES).toEqual(true);
  expect(exchanges.count).toEqual(0);
});
