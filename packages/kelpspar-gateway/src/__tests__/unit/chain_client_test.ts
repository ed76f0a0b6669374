import type { FleetMembership } from "../../fleet/fleet_membership.ts";
import type { PeerChainAnswer } from "../../pieces/chain_redirect.ts";
import type { ContactState } from "../../recovery/choose_coordinator_contacts.ts";
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

interface TestWorld {
  readonly timer: ManualTimer;
  readonly client: ChainClient;
  /** Daemons that ran chains, in order. */
  readonly ranByDaemon: string[];
  /** Other daemons with a recent heartbeat. */
  readonly heardDaemons: string[];
  /** Addresses that were asked for a heartbeat. */
  readonly probed: string[];
}

const CHAIN_MILLISECONDS = 400;

/** Another daemon that "other" names as the coordinator. */
const SUCCESSOR = {
  daemonId: "successor",
  front: "10.0.0.3:0",
  peer: "10.0.0.3:1",
  zone: "a",
  cores: 1,
};

function createWorld(
  options: {
    readonly successorState?: ContactState;
    /** When the successor's first heartbeat arrives. */
    readonly heardAt?: number;
    /** Time since the successor's last heartbeat. */
    readonly silenceMilliseconds?: number;
  } = {},
): TestWorld {
  const timer = new ManualTimer();
  const probed: string[] = [];
  const ranByDaemon: string[] = [];
  const heardDaemons: string[] = [];
  const run = (daemon: string): Promise<{ type: "done"; results: [] }> => {
    ranByDaemon.push(daemon);
    return Promise.resolve({ type: "done", results: [] });
  };
  const address = { peer: "10.0.0.2:1" };
  const runAtPeer = (
    peer: string,
    { mayRedirect }: ChainRequest,
    signal: AbortSignal,
  ): Promise<PeerChainAnswer> => {
    if (peer === SUCCESSOR.peer) {
      return new Promise((resolve, reject) => {
        signal.addEventListener("abort", () => reject(new Error("aborted")));
        timer.registerTimeout(() => {
          if (!signal.aborted) resolve(run(SUCCESSOR.daemonId));
        }, CHAIN_MILLISECONDS);
      });
    }
    return options.successorState !== undefined && mayRedirect === true
      ? Promise.resolve({ type: "moved", coordinator: SUCCESSOR })
      : run("other");
  };
  const membership = {
    rankedDaemons: () => [...heardDaemons, "self"],
    liveMembers: () => heardDaemons,
    findAddress: (id: string) =>
      id === SUCCESSOR.daemonId ? SUCCESSOR : address,
    contactState: () => options.successorState,
    isStarting: () => false,
    add: () => {},
    reportFailedCall: () => {},
    silenceMillisecondsOf: () => options.silenceMilliseconds ?? 0,
    isStalled: (id: string) =>
      id === SUCCESSOR.daemonId && timer.now() < (options.heardAt ?? 0),
  } as unknown as FleetMembership;
  const client = new ChainClient({
    daemonId: "self",
    membership,
    peers: { runChain: runAtPeer } as unknown as PeerClient,
    localCoordinator: { run: () => run("self") } as unknown as PieceCoordinator,
    timer,
    log: { info: () => {}, warn: () => {} },
    ownState: () => ({
      isLeaving: false,
      isReady: true,
      isStoreFresh: true,
      isIsolated: false,
    }),
    probe: (peer) => probed.push(peer),
    isDiscovering: () => false,
    recheckCoordinator: () => {},
  });
  return { timer, client, ranByDaemon, heardDaemons, probed };
}

test("a starting daemon waits for a heartbeat before it runs chains itself", async () => {
  // Guards against several coordinators after all daemons restart together. Each
  // got its first callers some milliseconds before the first heartbeat, assumed
  // that it was alone and ran their stages. Seven of eight daemons sent pieces
  // for the next seconds, 2,000 of which were refused for lack of room.
  const { timer, client, ranByDaemon, heardDaemons } = createWorld();
  const outcome = client.run(REQUEST, new AbortController().signal);
  await timer.advance(50);
  expect(ranByDaemon).toEqual([]);
  heardDaemons.push("other");
  await timer.advance(50);
  await outcome;
  expect(ranByDaemon).toEqual(["other"]);
});

test("a daemon without heartbeats runs chains itself after the grace period", async () => {
  const { timer, client, ranByDaemon } = createWorld();
  const outcome = client.run(REQUEST, new AbortController().signal);
  await timer.advance(400);
  await outcome;
  expect(ranByDaemon).toEqual(["self"]);
  await client.run(REQUEST, new AbortController().signal);
  expect(ranByDaemon).toEqual(["self", "self"]);
});

for (
  const [successorState, heardAt] of [["able", 0], ["unknown", 300]] as const
) {
  test(`a chain follows a coordinator that moved and is ${successorState} here`, async () => {
    // Guards against chains that are aborted and run again elsewhere because the
    // first heartbeat of the coordinator arrives after them.
    const { timer, client, ranByDaemon, heardDaemons, probed } = createWorld({
      successorState,
      heardAt,
    });
    heardDaemons.push("other");
    const outcome = client.run(REQUEST, new AbortController().signal);
    await timer.advance(CHAIN_MILLISECONDS);
    await outcome;
    expect(ranByDaemon).toEqual(["successor"]);
    expect(probed.includes(SUCCESSOR.peer)).toEqual(true);
  });
}

test("a chain doesn't wait for a coordinator that can't be reached here", async () => {
  // Guards against a daemon that is cut from the coordinator and tries to
  // connect to it for each chain, because the next one still hears it.
  const { client, ranByDaemon, heardDaemons, probed } = createWorld({
    successorState: "unable",
  });
  heardDaemons.push("other");
  await client.run(REQUEST, new AbortController().signal);
  expect(ranByDaemon).toEqual(["other"]);
  expect(probed).toEqual([SUCCESSOR.peer]);
});

for (
  const [silenceMilliseconds, expected] of [
    [1_700, ["successor"]],
    [2_300, ["self"]],
  ] as const
) {
  test(`a chain in progress at a suspected coordinator that is silent for ${silenceMilliseconds} ms`, async () => {
    // Guards against running all chains again while the coordinator is only
    // too busy to answer a probe in time.
    const { timer, client, ranByDaemon, heardDaemons } = createWorld({
      heardAt: CHAIN_MILLISECONDS - 50,
      silenceMilliseconds,
    });
    heardDaemons.push(SUCCESSOR.daemonId);
    const run = client.run(REQUEST, new AbortController().signal);
    await timer.advance(2 * CHAIN_MILLISECONDS);
    await run;
    expect(ranByDaemon).toEqual([...expected]);
  });
}

// Guards against results that stay at their makers after a coordinator was replaced.
test("a daemon notices that another coordinator runs its chains", async () => {
  const { client, heardDaemons, timer } = createWorld();
  let changes = 0;
  client.registerCoordinatorChange(() => changes++);
  const run = async (): Promise<void> => {
    const ended = client.run(REQUEST, new AbortController().signal);
    await timer.advance(CHAIN_MILLISECONDS);
    await ended;
  };
  heardDaemons.push("other");
  await run();
  await run();
  const known = changes;
  heardDaemons.splice(0);
  await run();
  await run();
  expect(changes - known).toEqual(1);
});
