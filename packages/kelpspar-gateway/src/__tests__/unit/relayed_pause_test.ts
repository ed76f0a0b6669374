import type { RequestDependencies } from "../../requests/request_dependencies.ts";
import { expect } from "earl";
import { test } from "node:test";
import { PausingEndpoint } from "../support/pausing_endpoint.ts";
import { createWorld, request } from "../support/request_world.ts";

const FIRST = "id: 1\ndata: a\n\n";
const SECOND = "id: 2\ndata: b\n\n";
const PEER = { daemonId: "d2", front: "", peer: "d2", zone: "a", cores: 1 };

/** A daemon that reaches no endpoint while one other daemon does. */
function createRelay(
  send: RequestDependencies["relay"]["send"],
): RequestDependencies["relay"] & { isNeeded: boolean } {
  return {
    isNeeded: true,
    verified: () => Promise.resolve(true),
    choosePeer: (tried) => tried.has(PEER.daemonId) ? undefined : PEER,
    send,
  };
}

// Guards against relayed streams that are cut though the other daemon holds
// them and no third one serves.
test("a relayed stream that pauses goes on if no other daemon is left", async () => {
  const peer = new PausingEndpoint();
  const world = createWorld([], {
    relay: createRelay(() =>
      Promise.resolve({ type: "answered", answer: peer.receive() })
    ),
    route: { attempts: 4 },
  });
  const served = world.service.serve(
    request({ pieceCounts: [0] }),
    world.reply,
  );
  await world.timer.settle();
  peer.write(FIRST);
  await world.timer.advance(3_500);
  if (!peer.isClosed) {
    peer.write(SECOND);
    peer.end();
  }
  await world.timer.settle();
  expect([world.reply.text, world.reply.endState])
    .toEqual([FIRST + SECOND, "ended"]);
  await served;
});

// Guards against streams that an isolated daemon cuts before it knows that
// another one may get them.
test("a stream at an isolated daemon goes on if no retry is left", async () => {
  const endpoint = new PausingEndpoint();
  const relay = createRelay(() =>
    Promise.resolve({ type: "unknown", reason: "not expected" })
  );
  relay.isNeeded = false;
  const world = createWorld([endpoint.answer], { relay, slack: 0 });
  const served = world.service.serve(
    request({ pieceCounts: [0] }),
    world.reply,
  );
  await world.timer.settle();
  endpoint.write(FIRST);
  await world.timer.settle();
  relay.isNeeded = true;
  await world.timer.advance(2_500);
  if (!endpoint.isClosed) {
    endpoint.write(SECOND);
    endpoint.end();
  }
  await world.timer.settle();
  expect([world.reply.text, world.reply.endState])
    .toEqual([FIRST + SECOND, "ended"]);
  await served;
});
