import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo, Server as TcpServer, Socket } from "node:net";
import type { ChainOutcome } from "../../pieces/chain_outcome.ts";
import type { ChainRequest } from "../../pieces/chain_request.ts";
import { expect } from "earl";
import { PeerConnections } from "kelpspar-peers";
import { SystemTimer } from "kelpspar-shared";
import { createServer } from "node:http";
import { connect, createServer as createTcpServer } from "node:net";
import { after, before, beforeEach, test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { MalformedAnswers } from "../../exchange/malformed_answers.ts";
import { PeerClient } from "../../fleet/peer_client.ts";
import { createPeerListener } from "../../fleet/peer_listener.ts";

const SELF = { daemonId: "d1", front: "", peer: "", zone: "a", cores: 1 };
const DIGEST = { self: SELF, configurationVersion: 1, heartbeats: "" };
const DONE: ChainOutcome = {
  type: "refused",
  reason: "overloaded",
  retryAfterMilliseconds: 1,
};
const CHAIN: ChainRequest = {
  attemptId: "a1",
  kind: "",
  pieceKey: "k",
  stages: [],
  remainingMilliseconds: 9_000,
  objectiveMilliseconds: 9_000,
  tailMilliseconds: 0,
  priority: 1,
  reader: undefined,
};
/** Well beyond the 600 ms timeout of a short call. */
const BUSY_MILLISECONDS = 900;
const CHAIN_MILLISECONDS = 2_000;

const sockets = new Set<Socket>();
let chainsRun = 0;
let busyUntil = 0;
/** How late each request is answered, milliseconds. */
let answerDelay = 0;
let connectionsOpened = 0;
let server: Server;
/** Proxy in front of the server, so that connections can go dead. */
let proxy: TcpServer;
let peer = "";

async function answer(
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const busy = Math.max(busyUntil - performance.now(), answerDelay);
  if (busy > 0) await pause(busy);
  listener(message, response);
}

const listener = createPeerListener({
  exchange: () => DIGEST,
  addresses: () => [],
  configuration: () => undefined,
  shareCrashes: (page) => page,
  shareNotices: (page) => page,
  answerTimes: () => [],
  sendTimes: () => [],
  shareSpeeds: (page) => page,
  follow: () => Promise.reject(new Error("Not followed")),
  runChain: async (_request, signal) => {
    chainsRun++;
    await pause(CHAIN_MILLISECONDS, undefined, { signal });
    return DONE;
  },
  release: () => {},
  lendRetries: () => Promise.resolve({ granted: 0, retryAfterMilliseconds: 0 }),
  holdStreams: () => {},
  recordStreams: () => {},
  findRecorded: () => Promise.resolve(undefined),
  answerOrigin: () => ({ recent: [] }),
});

before(async () => {
  server = createServer((message, response) => void answer(message, response));
  const { port } = await listening(server);
  proxy = createTcpServer((socket) => {
    connectionsOpened++;
    const onward = connect(port, "127.0.0.1");
    socket.pipe(onward).pipe(socket);
    socket.on("error", () => onward.destroy());
    onward.on("error", () => socket.destroy());
    sockets.add(onward);
  });
  peer = `127.0.0.1:${(await listening(proxy)).port}`;
});

beforeEach(() => {
  chainsRun = 0;
  busyUntil = 0;
  answerDelay = 0;
  connectionsOpened = 0;
});

// The timer of an overdue call outlives the tests.
after(() => {
  for (const socket of sockets) socket.destroy();
  proxy.close();
  server.closeAllConnections();
  server.close();
  setImmediate(() => process.exit());
});

test("a chain continues at a peer that answers late", async () => {
  // Guards against stages that run twice after "coordinator lost … The client
  // is destroyed" without an outage: the coordinator was busy for 0.6 s, an
  // exchange of digests timed out, and the overdue answer was taken for a dead
  // connection, so that all connections to it were destroyed.
  const client = new PeerClient({
    timer: new SystemTimer(),
    malformedAnswers: new MalformedAnswers(),
  });
  const chain = client.runChain(peer, CHAIN, new AbortController().signal);
  await pause(100);
  busyUntil = performance.now() + BUSY_MILLISECONDS;
  const exchange = client.exchange(peer, DIGEST);
  expect(await failed(exchange)).toEqual(true);
  expect(await failed(client.exchange(peer, DIGEST))).toEqual(false);
  expect(await chain).toEqual(DONE);
  expect(chainsRun).toEqual(1);
});

test("a chain on a dead connection fails once the peer answers on another one", async () => {
  // Otherwise the caller would wait until the deadline, because the peer is
  // live.
  const client = new PeerClient({
    timer: new SystemTimer(),
    malformedAnswers: new MalformedAnswers(),
  });
  const startedAt = performance.now();
  const chain = failed(
    client.runChain(peer, CHAIN, new AbortController().signal),
  );
  await pause(50);
  expect(await failed(client.exchange(peer, DIGEST))).toEqual(false);
  // From here on the peer's answers on these connections are lost.
  await pause(50);
  for (const socket of sockets) socket.unpipe().pause();
  expect(await failed(client.exchange(peer, DIGEST))).toEqual(true);
  expect(await failed(client.exchange(peer, DIGEST))).toEqual(false);
  expect(await chain).toEqual(true);
  expect(performance.now() - startedAt < 1_500).toEqual(true);
});

// Guards against an overloaded coordinator that must also accept a new
// connection for each call to it.
test("overdue calls to a busy peer don't open more connections", async () => {
  const client = new PeerClient({
    timer: new SystemTimer(),
    malformedAnswers: new MalformedAnswers(),
  });
  answerDelay = BUSY_MILLISECONDS;
  const calls: Promise<boolean>[] = [];
  for (let call = 0; call < 40; call++) {
    calls.push(failed(client.exchange(peer, DIGEST)));
    await pause(100);
  }
  expect(await Promise.all(calls)).toEqual(calls.map(() => true));
  expect(connectionsOpened <= calls.length / 2).toEqual(true);
});

// Guards against a crash of the daemon after two overdue calls to a peer.
test("a connection that several overdue calls close is closed once", async () => {
  const connections = new PeerConnections({
    createClient: () => ({}),
    agent: { pipelining: 1 },
  });
  for (const end of ["closed", "destroyed"] as const) {
    const connection = connections.open(peer);
    if (end === "destroyed") connections.drop(peer, connection);
    else connections.retire(peer, connection);
    // An unhandled rejection ends the process, and fails the test.
    for (let calls = 0; calls < 2; calls++) {
      connections.closeRetired(connection);
      await pause(20);
    }
    expect(connection.agent.destroyed).toEqual(true);
  }
});

function failed(promise: Promise<unknown>): Promise<boolean> {
  return promise.then(() => false, () => true);
}

function listening(tcpServer: Server | TcpServer): Promise<AddressInfo> {
  return new Promise((resolve) =>
    tcpServer.listen(
      0,
      "127.0.0.1",
      () => resolve(tcpServer.address() as AddressInfo),
    )
  );
}
