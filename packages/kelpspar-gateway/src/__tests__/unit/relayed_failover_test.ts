import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { DaemonAddress } from "../../fleet/fleet_digest.ts";
import type { World } from "../support/request_world.ts";
import { expect } from "earl";
import { CallerBudget } from "kelpspar-http";
import { ManualTimer, SeededRandom, SystemTimer } from "kelpspar-shared";
import { once } from "node:events";
import { createServer } from "node:http";
import { test } from "node:test";
import { OpenExchanges } from "../../front/open_exchanges.ts";
import { PeerRelay } from "../../relay/peer_relay.ts";
import { createRelayListener } from "../../relay/relay_listener.ts";
import { waitFor } from "../support/front_fixture.ts";
import { PausingEndpoint } from "../support/pausing_endpoint.ts";
import { createWorld, request } from "../support/request_world.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const SILENCE_MILLISECONDS = 3_000;
const TEST_MILLISECONDS = 10_000;
const ROUTE = { stages: [] };

/** A daemon that reaches one endpoint, over a connection of its own. */
class ServingDaemon {
  readonly endpoint = new PausingEndpoint();
  readonly world: World;
  readonly #server: Server;

  constructor() {
    const world = createWorld([this.endpoint.answer], { route: ROUTE });
    this.world = world;
    this.#server = createServer(createRelayListener({
      budget: new CallerBudget({ timer: new SystemTimer() }),
      serve: (message, reply) => world.service.serveRelayed(message, reply),
      isAble: () => true,
      exchanges: new OpenExchanges(),
      otherwise: (_, response) => response.end(),
    }));
  }

  async start(daemonId: string): Promise<DaemonAddress> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    const peer = `127.0.0.1:${port}`;
    return { daemonId, front: "", peer, zone: "a", cores: 1 };
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  get isAsked(): boolean {
    return this.world.endpointCalls.length > 0;
  }
}

/** Serves a request at an isolated daemon with real connections to others. */
function serveIsolated(
  candidates: readonly DaemonAddress[],
): { readonly world: World; readonly served: Promise<void> } {
  const timer = new ManualTimer();
  const relay = new PeerRelay({
    isolation: { isIsolated: true, verified: () => Promise.resolve(true) },
    membership: {
      relayCandidates: () =>
        candidates.map((address) => ({ address, isLeaving: false })),
      isStalled: () => false,
      reportFailedCall: () => {},
    },
    coordinator: () => candidates[1]?.daemonId,
    timer,
    random: new SeededRandom(1),
    malformedAnswers: { publish: () => {} },
    budget: new CallerBudget({ timer }),
  });
  const world = createWorld([], { route: ROUTE, relay });
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  return { world, served };
}

// Guards against two endpoints that work on a stream of an isolated daemon.
test("the endpoint of a held relayed stream ends before the next one's event", {
  timeout: TEST_MILLISECONDS,
}, async () => {
  const silent = new ServingDaemon();
  const next = new ServingDaemon();
  const addresses = [await silent.start("d2"), await next.start("d3")];
  const { world, served } = serveIsolated(addresses);
  await waitFor(() => silent.isAsked);
  silent.endpoint.write(FIRST);
  await waitFor(() => world.reply.text === FIRST);
  await world.timer.advance(SILENCE_MILLISECONDS);
  await waitFor(() => next.isAsked && silent.endpoint.isClosed);
  expect(next.world.endpointCalls[0]?.lastEventId).toEqual("1");
  next.endpoint.write(SECOND);
  next.endpoint.end();
  await served;
  expect([world.reply.text, world.reply.endState]).toEqual([
    FIRST + SECOND,
    "ended",
  ]);
  silent.stop();
  next.stop();
});
