import type { AddressInfo } from "node:net";
import type { ServiceRoute } from "../../configuration/service_route.ts";
import type { PeerRelayCall } from "../../relay/peer_relay.ts";
import type { RelayAnswer } from "../../relay/relay_answer.ts";
import type { EndpointAnswer } from "../../requests/endpoint_call.ts";
import type { World } from "../support/request_world.ts";
import { expect } from "earl";
import { CallerBudget } from "kelpspar-http";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { once } from "node:events";
import { createServer } from "node:http";
import { test } from "node:test";
import { PeerRelay } from "../../relay/peer_relay.ts";
import { RELAY_ORIGIN_HEADER } from "../../relay/relay_origin.ts";
import {
  createWorld,
  request,
  stream,
  wholeAnswer,
} from "../support/request_world.ts";

const EVENTS = "id: 1\ndata: a\n\n";
const OTHER_EVENTS = "id: 1\ndata: b\n\n";
const DEADLINE_MILLISECONDS = 10_000;
/** After the time at which an answer is late, and before the deadline. */
const LATE_MILLISECONDS = 5_000;
const SETTLE_MILLISECONDS = 1_000;
const STREAM: Partial<ServiceRoute> = { stages: [] };
/** Repeatable routes, and how their endpoints answer. */
const KINDS: readonly {
  readonly route: Partial<ServiceRoute>;
  readonly answer: (text: string) => EndpointAnswer;
}[] = [
  { route: STREAM, answer: (text) => stream(text) },
  {
    route: { kind: "idempotent", isResumable: false, stages: [] },
    answer: (text) => wholeAnswer(200, text),
  },
];

/** A daemon that answers when the test says so. */
class LatePeer {
  readonly calls: PeerRelayCall[] = [];
  #resolve = (_: RelayAnswer): void => {};

  send(call: PeerRelayCall): Promise<RelayAnswer> {
    this.calls.push(call);
    return new Promise((resolve) => {
      this.#resolve = resolve;
      call.signal.addEventListener(
        "abort",
        () => resolve({ type: "unknown", reason: "given up" }),
      );
    });
  }

  /** Lets the heartbeats of the daemon be missing. */
  stall(): void {
    for (const { onStalled } of this.calls) onStalled?.();
  }

  answer(answer: EndpointAnswer): void {
    if (answer.type !== "answered") throw new Error("Not an answer");
    this.#resolve({ type: "answered", answer });
  }

  get isGivenUp(): boolean {
    return this.calls.some(({ signal }) => signal.aborted);
  }
}

interface LateOptions {
  readonly route?: Partial<ServiceRoute>;
  readonly slack?: number;
}

interface LateWorld extends World {
  readonly peers: readonly [LatePeer, LatePeer];
  readonly served: Promise<void>;
}

/** Serves a request at an isolated daemon beside two others. */
async function serveIsolated(
  { route = STREAM, slack = 50 }: LateOptions = {},
): Promise<LateWorld> {
  const peers = [new LatePeer(), new LatePeer()] as const;
  const world = createWorld([], {
    route,
    slack,
    relay: {
      isNeeded: true,
      verified: () => Promise.resolve(true),
      choosePeer: (tried) => {
        const daemonId = ["0", "1"].find((id) => !tried.has(id));
        if (daemonId === undefined) return undefined;
        return { daemonId, front: "", peer: daemonId, zone: "a", cores: 1 };
      },
      send: (call) => peers[call.peer.daemonId === "0" ? 0 : 1].send(call),
    },
  });
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  return { ...world, peers, served };
}

// Guards against requests that fail though their daemon only pauses.
test("a relayed request whose daemon stalls is kept if no retry is left", async () => {
  for (const { route, answer } of KINDS) {
    const world = await serveIsolated({ route, slack: 0 });
    const [first, second] = world.peers;
    first.stall();
    await world.timer.advance(LATE_MILLISECONDS);
    first.answer(answer(EVENTS));
    await world.timer.settle();
    await world.served;
    expect([world.reply.text, world.reply.endState]).toEqual([EVENTS, "ended"]);
    expect(second.calls.length).toEqual(0);
  }
});

// Guards against requests that wait for a dead daemon until their deadline.
test("a relayed request whose daemon is gone goes to another one at once", async () => {
  for (const { route, answer } of KINDS) {
    const world = await serveIsolated({ route });
    const [first, second] = world.peers;
    first.stall();
    await world.timer.settle();
    expect([second.calls.length, first.isGivenUp]).toEqual([1, false]);
    second.answer(answer(OTHER_EVENTS));
    await world.timer.settle();
    await world.served;
    expect(world.reply.text).toEqual(OTHER_EVENTS);
    expect(first.isGivenUp).toEqual(true);
  }
});

// Guards against streams that wait for a silent connection until their deadline.
test("a relayed stream that doesn't begin goes to another daemon", async () => {
  const world = await serveIsolated();
  const [first, second] = world.peers;
  await world.timer.advance(LATE_MILLISECONDS);
  expect(second.calls.length).toEqual(1);
  second.answer(stream(OTHER_EVENTS));
  await world.timer.settle();
  await world.served;
  expect([world.reply.text, first.isGivenUp]).toEqual([OTHER_EVENTS, true]);
});

// Guards against pieces that count as sent for the first time at each daemon.
test("a daemon that is asked beside another one is told of its stages", async () => {
  const world = await serveIsolated();
  const [first, second] = world.peers;
  await world.timer.advance(SETTLE_MILLISECONDS);
  first.stall();
  await world.timer.settle();
  const [call] = second.calls;
  expect(call?.message.earlierStagesMilliseconds).toEqual(SETTLE_MILLISECONDS);
  second.answer(stream(OTHER_EVENTS));
  await world.timer.settle();
  await world.served;
});

// Guards against a send beside another one that counts as the first.
test("a daemon that is asked beside another one costs a retry", async () => {
  const world = await serveIsolated({ slack: 0 });
  const [first, second] = world.peers;
  first.stall();
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await world.served;
  expect(second.calls.length).toEqual(0);
  expect(world.reply.refusal?.status).toEqual(504);
});

// Guards against two daemons that both go on with a stream.
test("a late relayed stream that begins ends the call beside it", async () => {
  const world = await serveIsolated();
  const [first, second] = world.peers;
  await world.timer.advance(LATE_MILLISECONDS);
  first.answer(stream(EVENTS));
  await world.timer.settle();
  await world.served;
  expect([world.reply.text, world.reply.endState]).toEqual([EVENTS, "ended"]);
  expect([second.calls.length, second.isGivenUp]).toEqual([1, true]);
});

// Guards against a call that is given up since heartbeats are late.
test("a call to a daemon that stalls isn't given up", async () => {
  const timer = new ManualTimer();
  const server = createServer((message, response) => {
    message.resume().on("end", () => {
      void timer.advance(LATE_MILLISECONDS).then(() => {
        response.writeHead(200, { [RELAY_ORIGIN_HEADER]: "endpoint" });
        response.end(EVENTS);
      });
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const relay = new PeerRelay({
    isolation: { isIsolated: true, verified: () => Promise.resolve(true) },
    membership: {
      relayCandidates: () => [],
      isStalled: () => true,
      reportFailedCall: () => {},
    },
    coordinator: () => undefined,
    timer,
    random: new SeededRandom(1),
    malformedAnswers: { publish: () => {} },
    budget: new CallerBudget({ timer, maximumBytes: 1024 * 1024 }),
  });
  let stalls = 0;
  const answer = await relay.send({
    peer: {
      daemonId: "d2",
      front: "",
      peer: `127.0.0.1:${port}`,
      zone: "a",
      cores: 1,
    },
    message: {
      configurationVersion: 1,
      attemptsLeft: 1,
      request: request(),
    },
    onStalled: () => stalls++,
    signal: new AbortController().signal,
  });
  if (answer.type === "answered") answer.answer.close();
  server.closeAllConnections();
  server.close();
  expect([answer.type, stalls]).toEqual(["answered", 1]);
});
