import type { ServiceRoute } from "../../configuration/service_route.ts";
import type { PeerRelayCall } from "../../relay/peer_relay.ts";
import type { RelayAnswer } from "../../relay/relay_answer.ts";
import type { OriginLookup } from "../../streams/stream_origins.ts";
import type { ScriptedAnswer, World } from "../support/request_world.ts";
import { expect } from "earl";
import { test } from "node:test";
import { PausingEndpoint } from "../support/pausing_endpoint.ts";
import { createWorld, request, stream } from "../support/request_world.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const THIRD = "id: 3\ndata: c\n\n";
const WHOLE = [FIRST + SECOND + THIRD, "ended"];
/** Longer than the silence after which another daemon is asked. */
const PAUSE_MILLISECONDS = 4_000;
/** Shorter than that silence. */
const GAP_MILLISECONDS = 500;
const DEADLINE_MILLISECONDS = 10_000;
const PEERS = ["d2", "d3", "d4", "d5"];

/** Answers one relayed call. */
type ScriptedPeer = (
  call: PeerRelayCall,
) => RelayAnswer | Promise<RelayAnswer>;

/** A daemon that relays a stream which the test writes. */
function relaying(stream: PausingEndpoint): ScriptedPeer {
  return () => ({ type: "answered", answer: stream.receive() });
}

const unreachable: ScriptedPeer = () => ({
  type: "unreachable",
  reason: "no connection in time",
});

function refusing(isUnable: boolean): ScriptedPeer {
  return () => ({
    type: "refused",
    refusal: {
      status: 503,
      retryAfterMilliseconds: 250,
      message: "no",
      isUnable,
    },
  });
}

/** Never answers; its call ends when it is given up. */
const silent: ScriptedPeer = ({ signal }) =>
  new Promise((resolve) => {
    signal.addEventListener(
      "abort",
      () => resolve({ type: "unknown", reason: "given up" }),
    );
  });

function streaming(...events: readonly string[]): ScriptedPeer {
  return () => {
    const answer = stream(...events);
    if (answer.type !== "answered") throw new Error("Not an answer");
    return { type: "answered", answer };
  };
}

interface IsolatedOptions {
  readonly route?: Partial<ServiceRoute>;
  readonly slack?: number;
  /** Whether this daemon reaches no endpoint; true by default. */
  readonly isIsolated?: () => boolean;
  /** Answers of endpoints, once this daemon reaches them. */
  readonly endpoints?: readonly ScriptedAnswer[];
  readonly versions?: readonly string[];
  /** What is known of the software that began the stream. */
  readonly origin?: OriginLookup;
}

type IsolatedWorld = World & { readonly calls: readonly PeerRelayCall[] };

/** An isolated daemon and the other daemons that answer it, in this order. */
function createIsolated(
  script: readonly ScriptedPeer[],
  options: IsolatedOptions = {},
): IsolatedWorld {
  const { route, slack = 50, isIsolated, endpoints = [], ...rest } = options;
  const calls: PeerRelayCall[] = [];
  const world = createWorld(endpoints, {
    route: { stages: [], ...route },
    slack,
    ...rest,
    relay: {
      get isNeeded(): boolean {
        return isIsolated?.() ?? true;
      },
      verified: () => Promise.resolve(true),
      choosePeer: (tried) => {
        const daemonId = PEERS.slice(0, script.length).find((id) =>
          !tried.has(id)
        );
        if (daemonId === undefined) return undefined;
        return { daemonId, front: "", peer: daemonId, zone: "a", cores: 1 };
      },
      send: async (call) => {
        calls.push(call);
        const answer = script[calls.length - 1];
        if (answer === undefined) throw new Error("No scripted answer is left");
        return await answer(call);
      },
    },
  });
  return { ...world, calls };
}

interface PauseOptions extends IsolatedOptions {
  /** Daemons that are asked before the one that pauses. */
  readonly before?: readonly ScriptedPeer[];
  readonly after?: readonly ScriptedPeer[];
}

/** Plays a relayed stream that pauses after its first event, to its end. */
async function playPause(options: PauseOptions): Promise<IsolatedWorld> {
  const peer = new PausingEndpoint();
  const { before = [], after = [], ...rest } = options;
  const world = createIsolated([...before, relaying(peer), ...after], rest);
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  peer.write(FIRST);
  await world.timer.advance(PAUSE_MILLISECONDS);
  if (!peer.isClosed) {
    peer.write(SECOND);
    await world.timer.advance(GAP_MILLISECONDS);
    peer.write(THIRD);
    peer.end();
  }
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  return world;
}

function outcomeOf({ reply }: World): readonly string[] {
  return [reply.text, reply.endState];
}

// Guards against relayed streams that are cut though no retry is left.
test("a relayed stream that pauses goes on if no retry is left", async () => {
  const world = await playPause({
    slack: 0,
    after: [streaming(SECOND, THIRD)],
  });
  expect(outcomeOf(world)).toEqual(WHOLE);
  expect(world.calls.length).toEqual(1);
});

// Guards against relayed streams that are cut at the last daemon they may use.
test("a relayed stream that pauses goes on if no more daemons may be asked", async () => {
  const world = await playPause({
    route: { attempts: 6 },
    before: [unreachable, refusing(true)],
    after: [streaming(SECOND, THIRD)],
  });
  expect(outcomeOf(world)).toEqual(WHOLE);
  expect(world.calls.length).toEqual(3);
});

// Guards against relayed streams that are cut after their last attempt.
test("a relayed stream that pauses goes on if no attempt is left", async () => {
  const world = await playPause({
    route: { attempts: 1 },
    after: [streaming(SECOND, THIRD)],
  });
  expect(outcomeOf(world)).toEqual(WHOLE);
  expect(world.calls.length).toEqual(1);
});

// Guards against relayed streams that are cut though only one daemon serves.
test("a relayed stream that pauses goes on if no other daemon is there", async () => {
  expect(outcomeOf(await playPause({}))).toEqual(WHOLE);
});

// Guards against relayed streams that are cut for a daemon that refuses them.
test("a relayed stream that pauses goes on if the next daemon refuses", async () => {
  for (const isUnable of [true, false]) {
    const world = await playPause({ after: [refusing(isUnable)] });
    expect(outcomeOf(world)).toEqual(WHOLE);
  }
});

// Guards against relayed streams that are cut for a daemon that isn't reached.
test("a relayed stream that pauses goes on if the next daemon isn't reached", async () => {
  expect(outcomeOf(await playPause({ after: [unreachable] }))).toEqual(WHOLE);
});

// Guards against relayed streams that are cut for a daemon that doesn't answer.
test("a relayed stream that pauses goes on if the next daemon is silent", async () => {
  expect(outcomeOf(await playPause({ after: [silent] }))).toEqual(WHOLE);
});

// Guards against relayed streams that are cut inside an event that would end.
test("a relayed event that ends late is kept if no retry is left", async () => {
  const peer = new PausingEndpoint();
  const world = createIsolated([relaying(peer)], { slack: 0 });
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  peer.write(FIRST);
  for (const byte of SECOND.slice(0, -1)) {
    if (peer.isClosed) break;
    peer.write(byte);
    await world.timer.advance(GAP_MILLISECONDS / 2);
  }
  if (!peer.isClosed) {
    peer.write(SECOND.slice(-1) + THIRD);
    peer.end();
  }
  await world.timer.advance(DEADLINE_MILLISECONDS);
  await served;
  expect(outcomeOf(world)).toEqual(WHOLE);
});

// Guards against events that come twice when both daemons go on.
test("a relayed stream that goes on while another daemon is asked is kept", async () => {
  const peer = new PausingEndpoint();
  const world = createIsolated([relaying(peer), silent]);
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  peer.write(FIRST);
  await world.timer.advance(PAUSE_MILLISECONDS);
  const [, second] = world.calls;
  expect([second?.signal.aborted, peer.isClosed]).toEqual([false, false]);
  peer.write(SECOND);
  // The other daemon's answer may have begun already.
  await world.timer.advance(300);
  expect(second?.signal.aborted).toEqual(true);
  peer.write(THIRD);
  peer.end();
  await world.timer.settle();
  await served;
  expect(outcomeOf(world)).toEqual(WHOLE);
});

// Guards against streams that wait for a dead daemon until their deadline.
test("a relayed stream whose daemon dies goes on at once", async () => {
  const peer = new PausingEndpoint();
  const world = createIsolated([relaying(peer), streaming(SECOND, THIRD)]);
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  peer.write(FIRST);
  await world.timer.settle();
  peer.breakOff();
  await world.timer.settle();
  await served;
  expect(outcomeOf(world)).toEqual(WHOLE);
  expect(world.calls[1]?.message.request.lastEventId).toEqual("1");
});

// Guards against streams that wait for a silent connection until their deadline.
test("a relayed stream that stays silent goes on elsewhere after 3 s", async () => {
  const peer = new PausingEndpoint();
  const world = createIsolated([relaying(peer), streaming(SECOND, THIRD)]);
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  peer.write(FIRST);
  await world.timer.advance(PAUSE_MILLISECONDS);
  await served;
  expect([outcomeOf(world), peer.isClosed]).toEqual([WHOLE, true]);
  expect(world.calls[1]?.message.request.lastEventId).toEqual("1");
});

// Guards against retries that are spent on daemons that never sent the request.
test("a daemon that refuses a stalled stream costs no retry", async () => {
  for (const refusal of [refusing(true), unreachable]) {
    const peer = new PausingEndpoint();
    const script = [relaying(peer), refusal, streaming(SECOND, THIRD)];
    const world = createIsolated(script, { slack: 3 });
    const served = world.service.serve(
      request({ pieceCounts: [] }),
      world.reply,
    );
    await world.timer.settle();
    peer.write(FIRST);
    await world.timer.advance(DEADLINE_MILLISECONDS);
    await served;
    expect(outcomeOf(world)).toEqual(WHOLE);
  }
});

/** Plays a relayed stream that stays silent while the isolation ends. */
async function playRecovery(slack: number): Promise<boolean> {
  const peer = new PausingEndpoint();
  let isIsolated = true;
  const world = createIsolated([relaying(peer)], {
    slack,
    isIsolated: () => isIsolated,
    endpoints: [() => stream(SECOND, THIRD)],
  });
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  peer.write(FIRST);
  await world.timer.settle();
  isIsolated = false;
  await world.timer.advance(PAUSE_MILLISECONDS);
  const isHeld = !peer.isClosed;
  if (isHeld) {
    peer.write(SECOND + THIRD);
    peer.end();
    await world.timer.settle();
  }
  await served;
  expect(outcomeOf(world)).toEqual(WHOLE);
  return isHeld;
}

// Guards against streams that wait although their daemon reaches endpoints again.
test("a silent relayed stream goes on here once endpoints are reached", async () => {
  expect(await playRecovery(50)).toEqual(false);
});

// Guards against relayed streams that are cut when the isolation ends.
test("a silent relayed stream is kept after an isolation if no retry is left", async () => {
  expect(await playRecovery(0)).toEqual(true);
});

// Guards against streams that are closed for a daemon that may not be asked.
test("a stream of a daemon that becomes isolated is kept if no retry is left", async () => {
  const endpoint = new PausingEndpoint();
  let isIsolated = false;
  const world = createIsolated([streaming(SECOND, THIRD)], {
    slack: 0,
    isIsolated: () => isIsolated,
    endpoints: [endpoint.answer],
  });
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.settle();
  isIsolated = true;
  await world.timer.advance(PAUSE_MILLISECONDS);
  expect([world.calls.length, endpoint.isClosed]).toEqual([0, false]);
  endpoint.write(SECOND + THIRD);
  endpoint.end();
  await world.timer.settle();
  await served;
  expect(outcomeOf(world)).toEqual(WHOLE);
});

// Guards against events of two software versions in one stream.
test("a relayed stream goes on here at the software that began it", async () => {
  for (const version of ["v1", "v2"]) {
    const peer = new PausingEndpoint();
    let isIsolated = true;
    const world = createIsolated([relaying(peer)], {
      isIsolated: () => isIsolated,
      endpoints: [() => stream(SECOND, THIRD)],
      versions: ["v1", "v2", "v2"],
      origin: { type: "known", origin: { service: "model", version } },
    });
    const served = world.service.serve(
      request({ pieceCounts: [] }),
      world.reply,
    );
    await world.timer.settle();
    peer.write(FIRST);
    await world.timer.settle();
    isIsolated = false;
    peer.breakOff();
    await world.timer.settle();
    await served;
    expect(outcomeOf(world)).toEqual(WHOLE);
    expect(world.endpointCalls[0]?.endpoint.version).toEqual(version);
  }
});

// Guards against streams that go on although their software is gone or unknown.
test("a relayed stream doesn't go on here at unknown software", async () => {
  const peer = new PausingEndpoint();
  let isIsolated = true;
  const world = createIsolated([relaying(peer)], {
    isIsolated: () => isIsolated,
    endpoints: [() => stream(SECOND, THIRD)],
    versions: ["v1", "v2", "v2"],
    origin: { type: "unknown" },
  });
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  peer.write(FIRST);
  await world.timer.settle();
  isIsolated = false;
  peer.breakOff();
  await world.timer.settle();
  await served;
  expect([world.reply.endState, world.endpointCalls.length]).toEqual([
    "broken",
    0,
  ]);
});

// Guards against streams that are closed though nobody knows their software.
test("a silent relayed stream is kept while its software is unknown", async () => {
  const peer = new PausingEndpoint();
  let isIsolated = true;
  const world = createIsolated([relaying(peer)], {
    isIsolated: () => isIsolated,
    origin: { type: "unknown" },
  });
  const served = world.service.serve(
    request({ pieceCounts: [] }),
    world.reply,
  );
  await world.timer.settle();
  peer.write(FIRST);
  await world.timer.settle();
  isIsolated = false;
  await world.timer.advance(PAUSE_MILLISECONDS);
  expect(peer.isClosed).toEqual(false);
  peer.write(SECOND + THIRD);
  peer.end();
  await world.timer.settle();
  await served;
  expect(outcomeOf(world)).toEqual(WHOLE);
});
