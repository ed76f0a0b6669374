import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { CallerConnection } from "../../front/connections/caller_connection.ts";
import type { LogFields } from "../../log/gateway_log.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { once } from "node:events";
import { createServer } from "node:http";
import { afterEach, test } from "node:test";
import { chooseDisplaced } from "../../front/connections/choose_displaced.ts";
import { ClosedConnectionsLog } from "../../front/connections/closed_connections_log.ts";
import { ConnectionShare } from "../../front/connections/connection_share.ts";
import {
  DEFAULT_MAXIMUM_DESCRIPTORS,
  divideDescriptors,
} from "../../front/connections/divide_descriptors.ts";
import { GatewayMetrics } from "../../metrics/gateway_metrics.ts";
import { pollSockets, RawCaller, waitFor } from "../support/front_fixture.ts";

const MAXIMUM = 5;
const POLLS = 50;
const REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
/** Daemons of the largest fleet. */
const LARGEST_FLEET = 340;

interface ShareFixture {
  readonly port: number;
  readonly share: ConnectionShare;
  /** Reasons of the connections that the share closed. */
  readonly closings: readonly string[];
  /** Responses that the test ends; all others are ended at once. */
  readonly held: readonly ServerResponse[];
}

let servers: Server[] = [];
let callers: RawCaller[] = [];

afterEach(() => {
  for (const { socket } of callers) socket.destroy();
  for (const server of servers) server.close();
  callers = [];
  servers = [];
});

/** Holds the response to `/held`, and reads the body of `/body` first. */
async function startShare(): Promise<ShareFixture> {
  const held: ServerResponse[] = [];
  const closings: string[] = [];
  const server = createServer((message, response) => {
    message.resume();
    if (message.url === "/held") held.push(response);
    else if (message.url === "/body") message.on("end", () => response.end());
    else response.end();
  });
  const share = new ConnectionShare({
    server,
    maximumConnections: MAXIMUM,
    onClosed: (closing) => closings.push(closing),
  });
  servers.push(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return { port, share, closings, held };
}

async function open({ port }: ShareFixture, text = ""): Promise<RawCaller> {
  const caller = new RawCaller(port);
  callers.push(caller);
  await once(caller.socket, "connect");
  if (text !== "") caller.socket.write(text);
  return caller;
}

async function openServed(fixture: ShareFixture): Promise<RawCaller> {
  const caller = await open(fixture, REQUEST);
  await waitFor(() => caller.statuses.length === 1);
  return caller;
}

async function openHeld(fixture: ShareFixture): Promise<RawCaller> {
  const held = fixture.held.length;
  const caller = await open(fixture, REQUEST.replace("/", "/held"));
  await waitFor(() => fixture.held.length > held);
  return caller;
}

// Guards against callers who send nothing and take all descriptors.
test("ordinary callers are served among many silent connections", async () => {
  const fixture = await startShare();
  for (let count = 0; count < 10 * MAXIMUM; count++) await open(fixture);
  const ordinary = await openServed(fixture);
  expect(ordinary.statuses).toEqual(["200"]);
  expect(fixture.share.size).toEqual(MAXIMUM);
  for (let count = 0; count < 10 * MAXIMUM; count++) await open(fixture);
  await waitFor(() => fixture.closings.length === 19 * MAXIMUM + 1);
  ordinary.socket.write(REQUEST);
  await waitFor(() => ordinary.statuses.length === 2);
  expect(new Set(fixture.closings)).toEqual(new Set(["displaced"]));
});

// Guards against closing callers' kept connections before those never used.
test("silent connections give way before kept ones, the oldest first", async () => {
  const fixture = await startShare();
  const kept = await openServed(fixture);
  const silent: RawCaller[] = [];
  for (let count = 1; count < MAXIMUM; count++) {
    silent.push(await open(fixture));
  }
  await waitFor(() => fixture.share.size === MAXIMUM);
  for (let closed = 1; closed < MAXIMUM; closed++) {
    await openServed(fixture);
    await waitFor(() => silent[closed - 1]?.isClosed === true);
    expect(silent.filter(({ isClosed }) => isClosed).length).toEqual(closed);
    expect(kept.isClosed).toEqual(false);
  }
  await openServed(fixture);
  await waitFor(() => kept.isClosed);
});

// Guards against a request that is cut to make room for a new connection.
test("a connection with a request in progress isn't closed for another", async () => {
  const fixture = await startShare();
  const busy: RawCaller[] = [];
  for (let count = 0; count < MAXIMUM; count++) {
    busy.push(await openHeld(fixture));
  }
  const refused = await open(fixture, REQUEST);
  await waitFor(() => refused.isClosed);
  expect(refused.statuses).toEqual([]);
  expect(fixture.closings).toEqual(["refused"]);
  for (const response of fixture.held) response.end();
  await waitFor(() => busy.every(({ statuses }) => statuses.length === 1));
  await openServed(fixture);
  await waitFor(() => busy[0]?.isClosed === true);
});

// Guards against callers who leave their bodies open and keep others out.
test("a connection with an open body gives way after idle ones", async () => {
  const fixture = await startShare();
  const kept = await openServed(fixture);
  const uploads: RawCaller[] = [];
  const head = "POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nx";
  for (let count = 1; count < MAXIMUM; count++) {
    uploads.push(await open(fixture, head));
  }
  await pollSockets(POLLS);
  await openHeld(fixture);
  await waitFor(() => kept.isClosed);
  expect(uploads.some(({ isClosed }) => isClosed)).toEqual(false);
  await openHeld(fixture);
  await waitFor(() => uploads[0]?.isClosed === true);
  expect(uploads.filter(({ isClosed }) => isClosed).length).toEqual(1);
});

// Guards against a share that shrinks with each connection that is closed.
test("connections that end leave room for others", async () => {
  const fixture = await startShare();
  for (let count = 0; count < 3 * MAXIMUM; count++) {
    const caller = await openServed(fixture);
    caller.socket.destroy();
    await waitFor(() => fixture.share.size === 0);
  }
  expect(fixture.closings).toEqual([]);
});

// Guards against one address that keeps the others' connections out.
test("the address with most connections gives way first", () => {
  const connect = (
    remoteAddress: string,
    options: Partial<CallerConnection> = {},
  ): CallerConnection => ({
    socket: {} as Socket,
    remoteAddress,
    openRequests: 0,
    latest: undefined,
    hasSentRequest: false,
    ...options,
  });
  const counts = new Map([["a", 1], ["b", 3], ["c", 2]]);
  const countOf = (address: string): number => counts.get(address) ?? 0;
  const first = connect("b");
  const kept = connect("b", { hasSentRequest: true });
  const busy = connect("b", {
    openRequests: 1,
    latest: { complete: true } as IncomingMessage,
  });
  const others = [connect("a"), connect("c")];
  expect(chooseDisplaced([...others, first, connect("b")], countOf) === first)
    .toEqual(true);
  expect(chooseDisplaced([kept, ...others], countOf)?.remoteAddress)
    .toEqual("c");
  expect(chooseDisplaced([busy, kept], countOf) === kept).toEqual(true);
  expect(chooseDisplaced([busy], countOf)).toEqual(undefined);
});

// Guards against shares that together exceed the descriptors, and against
// daemons of the largest fleet that displace each other.
test("the shares leave descriptors for endpoints, store and daemons", () => {
  const limits = divideDescriptors(DEFAULT_MAXIMUM_DESCRIPTORS);
  const sum = Object.values(limits).reduce((total, limit) => total + limit, 0);
  expect(
    sum + limits.front <= DEFAULT_MAXIMUM_DESCRIPTORS - 200 - LARGEST_FLEET,
  )
    .toEqual(true);
  expect(limits.control >= LARGEST_FLEET).toEqual(true);
  for (const descriptors of [250, 400, 1_000]) {
    const { front, ...others } = divideDescriptors(descriptors);
    const rest = Object.values(others).reduce((a, b) => a + b, 0);
    expect(2 * front + rest < descriptors).toEqual(true);
  }
});

// Guards against callers who fill the log.
test("closed connections are counted, and seldom logged", async () => {
  const timer = new ManualTimer();
  const metrics = new GatewayMetrics();
  const lines: LogFields[] = [];
  const log = {
    info: () => {},
    warn: (_message: string, fields: LogFields = {}) => lines.push(fields),
  };
  const closed = new ClosedConnectionsLog({ timer, log, metrics });
  for (let count = 0; count < 1_000; count++) closed.note("front", "displaced");
  closed.note("ready", "refused");
  expect(lines.length).toEqual(2);
  await timer.advance(10_000);
  closed.note("front", "displaced");
  expect(lines[2]).toEqual({
    listener: "front",
    closing: "displaced",
    count: 1_000,
  });
  const text = await metrics.render();
  expect(text).toEqual(expect.includes(
    'kelpspar_connections_closed_total{listener="front",reason="displaced"} 1001',
  ));
});
