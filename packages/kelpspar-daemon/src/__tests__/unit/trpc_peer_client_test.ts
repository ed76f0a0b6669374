import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { PeerHandlers } from "../../peers/peer_router.ts";
import { expect } from "earl";
import { createServer } from "node:http";
import { after, before, test } from "node:test";
import { ManualTimer, toKelpsparError } from "kelpspar-shared";
import { createPeerListener } from "../../peers/peer_listener.ts";
import { TrpcPeerClient } from "../../peers/trpc_peer_client.ts";
import { waitUntil } from "../support/test_daemon.ts";
import { createRow, PEER_SECRET } from "../support/test_site.ts";

const TIMEOUT_MILLISECONDS = 400;
const MAXIMUM_CONNECTIONS = 2;
/** Fails a test that would otherwise hang. */
const LIMIT = { timeout: 30_000 };
const ROW = createRow(7);
const INQUIRY = { accountId: "small", idempotencyKey: "k", operationId: "o" };
const HANDLERS: PeerHandlers = {
  exchange: (digest) => digest,
  configuration: () => ROW,
  askClaim: ({ operationId }) => ({ type: "running", operationId }),
};

/** A peer whose open connections can be silenced. */
class Peer {
  readonly connections: Socket[] = [];
  callCount = 0;
  readonly #silent = new Set<Socket>();
  readonly #server: Server;

  constructor() {
    const answer = createPeerListener(HANDLERS, { secret: PEER_SECRET });
    this.#server = createServer((request, response) => {
      this.callCount++;
      if (!this.#silent.has(request.socket)) answer(request, response);
    });
    this.#server.on("connection", (socket: Socket) => {
      this.connections.push(socket);
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
  }

  get address(): { readonly address: string; readonly port: number } {
    const { port } = this.#server.address() as AddressInfo;
    return { address: "127.0.0.1", port };
  }

  /** Open connections never answer again; new ones do. */
  silence(): void {
    for (const socket of this.connections) this.#silent.add(socket);
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }
}

let peer: Peer;
let timer: ManualTimer;
let client: TrpcPeerClient;

before(async () => {
  peer = new Peer();
  await peer.listen();
  timer = new ManualTimer();
  client = new TrpcPeerClient({ secret: PEER_SECRET, timer });
});

after(async () => {
  await client.close();
  peer.close();
});

test("calls reach a peer and share its connections", async () => {
  expect(await client.configuration(peer.address)).toEqual(ROW);
  expect(await client.askClaim(peer.address, INQUIRY))
    .toEqual({ type: "running", operationId: "o" });
  for (let turn = 0; turn < 5; turn++) await client.configuration(peer.address);
  expect(peer.connections.length <= MAXIMUM_CONNECTIONS).toEqual(true);
});

test(
  "a silent connection fails one call, not all later ones",
  LIMIT,
  async () => {
    // Failure: two healthy daemons consider each other dead. Their connection
    // goes silent, a call times out, and later calls reuse the same connection.
    peer.silence();
    const { callCount } = peer;
    const lost = resultOf(client.configuration(peer.address));
    await waitUntil(() => peer.callCount > callCount);
    await timer.advance(TIMEOUT_MILLISECONDS);
    expect(await lost).toEqual("peer_unavailable");
    expect(await client.configuration(peer.address)).toEqual(ROW);
  },
);

test("a wrong secret and an unreachable peer both fail as an unavailable peer", async () => {
  const stranger = new TrpcPeerClient({ secret: "another secret", timer });
  expect(await resultOf(stranger.configuration(peer.address)))
    .toEqual("peer_unavailable");
  await stranger.close();
  const gone = { ...peer.address, port: 1 };
  expect(await resultOf(client.askClaim(gone, INQUIRY)))
    .toEqual("peer_unavailable");
});

test("an invalid answer of a peer fails as an unavailable peer", async (t) => {
  const server = createServer((_request, response) => {
    response.setHeader("content-type", "application/json");
    response.end('{"result":{"data":{"revision":"none"}}}');
  });
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  expect(await resultOf(client.configuration({ ...peer.address, port })))
    .toEqual("peer_unavailable");
});

async function resultOf(call: Promise<unknown>): Promise<string> {
  try {
    await call;
  } catch (thrown) {
    return toKelpsparError(thrown).result;
  }
  return "ok";
}
