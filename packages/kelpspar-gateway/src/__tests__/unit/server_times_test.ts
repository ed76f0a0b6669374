import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "earl";
import { once } from "node:events";
import { test } from "node:test";
import { createTimedServer } from "../../front/create_timed_server.ts";
import { createTextServer } from "../../front/text_server.ts";
import {
  RawCaller,
  sendUntilClosed,
  waitFor,
} from "../support/front_fixture.ts";

const SHORT_TIMES = {
  headMilliseconds: 100,
  requestMilliseconds: 200,
  idleMilliseconds: 100,
  checkMilliseconds: 20,
};
const TINY_CHUNKS = "1\r\nx\r\n".repeat(10_000);
const LARGE_CHUNK = `10000\r\n${"x".repeat(0x10000)}\r\n`;
const CHUNKED = "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const PAGE = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

async function listen(server: Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

function startPages(times = {}): Server {
  return createTextServer(
    () => ({ status: 200, contentType: "text/plain", text: "page" }),
    times,
  );
}

// Guards against a page that reads on what it discards and hangs the process.
for (const part of [TINY_CHUNKS, LARGE_CHUNK]) {
  const size = part === TINY_CHUNKS ? "tiny" : "large";
  test(`a page closes a request with ${size} chunks without end`, async () => {
    const server = startPages();
    const port = await listen(server);
    const senders = Array.from({ length: 5 }, () => new RawCaller(port));
    const ends = senders.map((sender) => {
      sender.socket.write(`GET / HTTP/1.1\r\n${CHUNKED}`);
      return sendUntilClosed(sender, part);
    });
    const ordinary = new RawCaller(port);
    ordinary.socket.write(PAGE);
    await waitFor(() => ordinary.text.endsWith("page"));
    await Promise.all(ends);
    ordinary.socket.write(PAGE);
    await waitFor(() => ordinary.statuses.length === 2);
    ordinary.socket.destroy();
    server.close();
  });
}

// Guards against an answer that is lost since its connection closes too early.
test("a page answers a request with a body, then closes", async () => {
  const server = startPages();
  const port = await listen(server);
  for (const bytes of [1, 1_000, 60_000]) {
    const caller = new RawCaller(port);
    caller.socket.write(
      `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`,
    );
    await waitFor(() => caller.text.endsWith("page"));
    expect(caller.isClosed).toEqual(false);
    caller.socket.write("x".repeat(bytes));
    await waitFor(() => caller.isClosed);
    expect(caller.text).toEqual(expect.includes("Connection: close"));
  }
  server.close();
});

// Guards against pages whose connections are never closed.
test("a page closes late heads, open bodies and idle connections", async () => {
  const server = startPages(SHORT_TIMES);
  const port = await listen(server);
  for (const text of ["", "GET /", `GET / HTTP/1.1\r\n${CHUNKED}`, PAGE]) {
    const caller = new RawCaller(port);
    caller.socket.write(text);
    await waitFor(() => caller.isClosed);
  }
  server.close();
});

// Guards against long answers to daemons, such as of chains, that are cut by
// the time in which requests have to arrive.
test("a request that has arrived may be answered late, an open one is closed", async () => {
  let answer = (): void => {};
  const server = createTimedServer((message, response) => {
    message.resume();
    message.on("end", () => answer = () => response.end("late"));
  }, SHORT_TIMES);
  const port = await listen(server);
  const whole = new RawCaller(port);
  whole.socket.write(PAGE);
  const open = new RawCaller(port);
  open.socket.write(`POST / HTTP/1.1\r\n${CHUNKED}1\r\nx\r\n`);
  await waitFor(() => open.isClosed);
  await new Promise((resolve) =>
    setTimeout(resolve, 2 * SHORT_TIMES.requestMilliseconds)
  );
  expect(whole.isClosed).toEqual(false);
  answer();
  await waitFor(() => whole.text.includes("late"));
  whole.socket.destroy();
  server.close();
});
