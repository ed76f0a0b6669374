import type { IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:http";
import { test } from "node:test";
import { ReadGates } from "../../front/read_gates.ts";
import { ReadTurns } from "../../front/read_turns.ts";
import {
  FrontFixture,
  pollSockets,
  RawCaller,
  waitFor,
} from "../support/front_fixture.ts";

const PARTS_PER_TURN = 500;
/** More than a first read delivers, which tells that a body has many parts. */
const PARTS_OF_FIRST_READ = 12_000;
const POLLS = 50;
const TINY_PARTS = 40_000;
const CHUNKED = "Host: a\r\nTransfer-Encoding: chunked\r\n\r\n";

function chunked(parts: number, size: number): string {
  const chunk = `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
  return `POST / HTTP/1.1\r\n${CHUNKED}${chunk.repeat(parts)}0\r\n\r\n`;
}

// Guards against many connections with chunks of one byte that are all read in
// each turn of the event loop, while all other connections wait.
test("connections with very many parts are read one in each turn", async () => {
  const turns = new ReadTurns({
    gates: new ReadGates(),
    partsPerTurn: PARTS_PER_TURN,
  });
  const partCounts = new Map<IncomingMessage, number>();
  const readInTurn = new Set<IncomingMessage>();
  let mostHeavyInTurn = 0;
  let whole = 0;
  const server = createServer(
    { IncomingMessage: turns.createMessageClass() },
    (message, response) => {
      message.on("data", () => {
        const parts = (partCounts.get(message) ?? 0) + 1;
        partCounts.set(message, parts);
        if (parts > PARTS_OF_FIRST_READ) readInTurn.add(message);
      });
      message.on("end", () => {
        whole++;
        response.end();
      });
    },
  ).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const callers = Array.from({ length: 6 }, () => new RawCaller(port));
  for (const { socket } of callers) socket.write(chunked(TINY_PARTS, 1));
  while (whole < callers.length) {
    await pollSockets(1);
    mostHeavyInTurn = Math.max(mostHeavyInTurn, readInTurn.size);
    readInTurn.clear();
  }
  expect(mostHeavyInTurn).toEqual(1);
  expect([...partCounts.values()]).toEqual(callers.map(() => TINY_PARTS));
  for (const { socket } of callers) socket.destroy();
  server.close();
});

// Guards against a body that is never read on after its connection waited.
test("bodies of many parts arrive whole, with requests behind them", async () => {
  const lengths: number[] = [];
  const fixture = await FrontFixture.start(async ({ body }, reply) => {
    lengths.push(body.length);
    await pollSockets(1);
    reply.answer(200, [], Buffer.alloc(0));
  });
  const callers = Array.from({ length: 4 }, () => new RawCaller(fixture.port));
  const sizes = [1, 4, 500];
  for (const { socket } of callers) {
    for (const size of sizes) socket.write(chunked(300, size));
    for (const size of sizes) socket.write(chunked(40_000 / size, size));
  }
  await waitFor(() =>
    callers.every(({ statuses, isClosed }) => statuses.length === 6 || isClosed)
  );
  expect(callers.map(({ statuses }) => statuses.join(" ")))
    .toEqual(callers.map(() => "200 200 200 200 200 200"));
  expect(lengths.length).toEqual(6 * callers.length);
  for (const { socket } of callers) socket.destroy();
  fixture.stop();
});

// Guards against a caller that ends its connection while it waits for a turn.
test("a connection that closes while it waits leaves the turn to others", async () => {
  const fixture = await FrontFixture.start(async ({ body }, reply) => {
    reply.answer(200, [], Buffer.from(String(body.length)));
    await Promise.resolve();
  });
  const others = Array.from({ length: 5 }, () => new RawCaller(fixture.port));
  const open = chunked(20_000, 1).slice(0, -"0\r\n\r\n".length);
  for (const { socket } of others) socket.write(open);
  await waitFor(() => fixture.exchanges.count === others.length);
  const caller = new RawCaller(fixture.port);
  caller.socket.write(chunked(20_000, 1));
  for (const { socket } of others) socket.resetAndDestroy();
  await waitFor(() => caller.text.endsWith("20000"));
  caller.socket.destroy();
  await waitFor(() => fixture.exchanges.count === 0);
  fixture.stop();
});

// Guards against a waiting request whose body fills the memory, since Node.js
// limits the bytes of an unread body and not its parts.
test("a body that nobody reads yet isn't read on after many parts", async () => {
  const turns = new ReadTurns({
    gates: new ReadGates(),
    partsPerTurn: PARTS_PER_TURN,
  });
  const messages: IncomingMessage[] = [];
  const server = createServer(
    { IncomingMessage: turns.createMessageClass() },
    (message, response) => {
      messages.push(message);
      message.on("end", () => response.end());
    },
  ).listen(0, "127.0.0.1");
  await once(server, "listening");
  const caller = new RawCaller((server.address() as AddressInfo).port);
  caller.socket.write(chunked(TINY_PARTS, 1));
  await waitFor(() => messages.length === 1);
  await pollSockets(POLLS);
  expect((messages[0]?.readableLength ?? 0) <= PARTS_OF_FIRST_READ)
    .toEqual(true);
  messages[0]?.resume();
  await waitFor(() => caller.statuses.length === 1);
  caller.socket.destroy();
  server.close();
});
