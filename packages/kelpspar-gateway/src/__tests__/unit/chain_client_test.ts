import type { FleetMembership } from "../../fleet/fleet_membership.ts";
import type { PeerClient } from "../../fleet/peer_client.ts";
import type { ChainRequest } from "../../pieces/chain_request.ts";
import type { PieceCoordinator } from "../../pieces/piece_coordinator.ts";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { ChainClient } from "../../requests/chain_client.ts";

const REQUEST: ChainRequest = {
  attemptId: "a",
  pieceKey: "k",
  stages: [],
  remainingMilliseconds: 5_000,
  objectiveMilliseconds: 1_000,
  kind: "model",
  tailMilliseconds: 100,
  priority: 0,
};

interface World {
  readonly timer: ManualTimer;
  readonly client: ChainClient;
  /** Who ran chains, in turn. */
  readonly ranAt: string[];
  /** Others that are heard. */
  readonly heard: string[];
}

function createWorld(): World {
  const timer = new ManualTimer();
  const ranAt: string[] = [];
  const heard: string[] = [];
  const run = (daemon: string): Promise<{ type: "done"; results: [] }> => {
    ranAt.push(daemon);
    return Promise.resolve({ type: "done", results: [] });
  };
  const address = { peer: "10.0.0.2:1" };
  const membership = {
    rankedDaemons: () => [...heard, "self"],
    liveMembers: () => heard,
    findAddress: () => address,
    silenceMillisecondsOf: () => 0,
    isStalled: () => false,
  } as unknown as FleetMembership;
  const client = new ChainClient({
    daemonId: "self",
    membership,
    peers: { runChain: () => run("other") } as unknown as PeerClient,
    local: { run: () => run("self") } as unknown as PieceCoordinator,
    timer,
    log: { info: () => {}, warn: () => {} },
    ownState: () => ({ isLeaving: false, isReady: true, isStoreFresh: true }),
    probe: () => {},
  });
  return { timer, client, ranAt, heard };
}

test("a daemon that just started hears others before it gathers pieces", async () => {
  // Symptom: after all daemons were killed at once, seven of eight sent pieces
  // for the next seconds, 2,000 of which were turned away for want of room.
  // Sequence: each got its first callers some milliseconds before it heard the
  // others, took itself for the only one and ran their stages.
  // Cause: who had heard nobody yet was alone at once.
  const { timer, client, ranAt, heard } = createWorld();
  const asked = client.run(REQUEST, new AbortController().signal);
  await timer.advance(50);
  expect(ranAt).toEqual([]);
  heard.push("other");
  await timer.advance(50);
  await asked;
  expect(ranAt).toEqual(["other"]);
});

test("a daemon that hears nobody serves alone after a moment", async () => {
  const { timer, client, ranAt } = createWorld();
  const asked = client.run(REQUEST, new AbortController().signal);
  await timer.advance(400);
  await asked;
  expect(ranAt).toEqual(["self"]);
  await client.run(REQUEST, new AbortController().signal);
  expect(ranAt).toEqual(["self", "self"]);
});
