import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "earl";
import { CallerBudget } from "kelpspar-http";
import { DiscardLimit } from "kelpspar-peers";
import { ManualTimer, SystemTimer } from "kelpspar-shared";
import { once } from "node:events";
import { createServer } from "node:http";
import { test } from "node:test";
import { discardBody } from "../../front/discard_body.ts";
import { OpenExchanges } from "../../front/open_exchanges.ts";
import { createRelayListener } from "../../relay/relay_listener.ts";
import { RELAY_PATH } from "../../relay/relay_path.ts";
import {
  FrontFixture,
  pollSockets,
  RawCaller,
  sendUntilClosed,
  waitFor,
} from "../support/front_fixture.ts";

const POLLS = 50;
const TINY_CHUNKS = "1\r\nx\r\n".repeat(10_000);
const LARGE_CHUNK = `10000\r\n${"x".repeat(0x10000)}\r\n`;
const CHUNKED = "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n";

async function listen(server: Server): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

// Guards against refused bodies that Node.js drops unseen and without a bound.
for (const part of [TINY_CHUNKS, LARGE_CHUNK]) {
  const size = part === TINY_CHUNKS ? "tiny" : "large";
  test(`a refused request with ${size} chunks without end is closed`, async () => {
    const fixture = await FrontFixture.start(() => Promise.resolve());
    const caller = new RawCaller(fixture.port);
    const head = `X-Long: ${"x".repeat(20_000)}\r\n`;
    caller.socket.write(`POST / HTTP/1.1\r\n${head}${CHUNKED}`);
    await sendUntilClosed(caller, part);
    fixture.stop();
  });
}

// Guards against a declared length that has a daemon read without a bound.
test("a body declared far too large is closed", async () => {
  const fixture = await FrontFixture.start(() => Promise.resolve());
  const caller = new RawCaller(fixture.port);
  caller.socket.write(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
  );
  await sendUntilClosed(caller, LARGE_CHUNK);
  expect(caller.statuses).toEqual(["413"]);
  fixture.stop();
});

// Guards against refused bodies that are left open for good.
test("a discarded body that doesn't end is closed after its time", async () => {
  const timer = new ManualTimer();
  const outcomes: boolean[] = [];
  const server = createServer((message, response) => {
    void discardBody(message, { timer, maximumMilliseconds: 1_000 })
      .then((isWhole) => outcomes.push(isWhole));
    response.end();
  });
  const port = await listen(server);
  const whole = new RawCaller(port);
  whole.socket.write(`POST / HTTP/1.1\r\n${CHUNKED}1\r\nx\r\n0\r\n\r\n`);
  await waitFor(() => outcomes.length === 1);
  const open = new RawCaller(port);
  open.socket.write(`POST / HTTP/1.1\r\n${CHUNKED}1\r\nx\r\n`);
  await waitFor(() => open.statuses.length === 1);
  await timer.advance(999);
  await pollSockets(POLLS);
  expect(open.isClosed).toEqual(false);
  await timer.advance(1);
  await waitFor(() => open.isClosed);
  expect(outcomes).toEqual([true, false]);
  expect(whole.isClosed).toEqual(false);
  whole.socket.destroy();
  server.close();
});

// Guards against a limit of parts that an ordinary body meets.
test("parts of 64 bytes and more are limited by their bytes only", () => {
  const bytes = 1_000_000;
  for (const size of [64, 1_000, 65_536]) {
    const limit = new DiscardLimit(bytes);
    for (let sent = 0; sent + size <= bytes; sent += size) {
      limit.add(new Uint8Array(size));
    }
    expect(limit.isExceeded).toEqual(false);
    limit.add(new Uint8Array(size));
    expect(limit.isExceeded).toEqual(true);
  }
  const tiny = new DiscardLimit(bytes);
  for (let part = 0; part < 300; part++) tiny.add(new Uint8Array(1));
  expect(tiny.isExceeded).toEqual(true);
});

// Guards against a refusal that is lost to the daemon that relayed, which
// couldn't tell then whether the request has run.
test("a relayed request that is refused is answered after its body", async () => {
  const server = createServer(createRelayListener({
    budget: new CallerBudget({ timer: new SystemTimer() }),
    serve: () => Promise.reject(new Error("not expected")),
    isAble: () => true,
    exchanges: new OpenExchanges(),
    otherwise: (_message, response) => response.end(),
  }));
  const port = await listen(server);
  const caller = new RawCaller(port);
  const bytes = 20 * 1024 * 1024;
  caller.socket.write(
    `POST ${RELAY_PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: ${bytes}\r\n\r\n`,
  );
  caller.socket.write(Buffer.alloc(bytes - 1));
  await pollSockets(POLLS);
  expect(caller.statuses).toEqual([]);
  caller.socket.write("x");
  await waitFor(() => caller.isClosed);
  expect(caller.statuses).toEqual(["503"]);
  server.close();
});
