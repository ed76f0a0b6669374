import type { AddressInfo } from "node:net";
import type { ReleaseLoad } from "../../load/release_load.ts";
import type { ChainRelease } from "../../pieces/chain_request.ts";
import { expect } from "earl";
import { SystemTimer } from "kelpspar-shared";
import { createServer } from "node:http";
import { after, before, test } from "node:test";
import { MalformedAnswers } from "../../exchange/malformed_answers.ts";
import { PeerClient } from "../../fleet/peer_client.ts";
import { createPeerListener, PEER_PATH } from "../../fleet/peer_listener.ts";

const LOAD: ReleaseLoad = {
  endpointId: "a",
  bornAt: 5,
  running: 1,
  waiting: 0,
  slots: 4,
  slowdown: 1.5,
  ageMilliseconds: 3,
  firstByteMilliseconds: 120,
};
const RESULTS = [
  { handle: "h", makerId: "m", makerAddress: "10.0.0.1:80", makerZone: "a" },
];

const released: ChainRelease[] = [];
const notUsed = (): never => {
  throw new Error("Not used here");
};
const server = createServer(createPeerListener({
  exchange: notUsed,
  addresses: notUsed,
  configuration: notUsed,
  shareCrashes: notUsed,
  shareNotices: notUsed,
  answerTimes: () => [],
  sendTimes: () => [],
  shareSpeeds: notUsed,
  follow: notUsed,
  runChain: notUsed,
  release: (release) => void released.push(release),
  lendRetries: notUsed,
  holdStreams: notUsed,
  recordStreams: notUsed,
  findRecorded: notUsed,
  answerOrigin: notUsed,
}));
let peer = "";

before(async () => {
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  peer = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

after(() => {
  server.closeAllConnections();
  server.close();
});

test("a release carries the load to the coordinator, and none if unknown", async () => {
  const client = new PeerClient({
    timer: new SystemTimer(),
    malformedAnswers: new MalformedAnswers(),
  });
  await client.release(peer, { attemptId: "1", results: RESULTS, load: LOAD });
  await client.release(peer, { attemptId: "2", results: [] });
  expect(released.splice(0)).toEqual([
    { attemptId: "1", results: RESULTS, load: LOAD },
    { attemptId: "2", results: [] },
  ]);
});

// Guards against results that a coordinator frees although they may be needed.
test("a release tells the coordinator for which chain to retain results", async () => {
  const client = new PeerClient({
    timer: new SystemTimer(),
    malformedAnswers: new MalformedAnswers(),
  });
  const release = { attemptId: "1", results: RESULTS, retainFor: "key" };
  await client.release(peer, release);
  expect(released.splice(0)).toEqual([release]);
});

// Guards against results that stay because another build says so differently.
test("a release that names no valid chain frees its results", async () => {
  for (const retainFor of [undefined, null, 5, true, {}]) {
    const response = await fetch(`http://${peer}${PEER_PATH}/release`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ attemptId: "1", results: RESULTS, retainFor }),
    });
    expect(response.status).toEqual(200);
    const release = released.pop();
    expect([release?.results, release?.retainFor])
      .toEqual([RESULTS, undefined]);
  }
});

// Guards against results that stay in memory because daemons of another build
// send a load that isn't understood, no load, or fields that are unknown here.
test("a release without a valid load frees its results", async () => {
  const loads = [undefined, null, 5, {}, { ...LOAD, slots: 0 }, {
    ...LOAD,
    waiting: -1,
  }];
  for (const load of loads) {
    const response = await fetch(`http://${peer}${PEER_PATH}/release`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        attemptId: "1",
        results: RESULTS,
        load,
        laterField: 1,
      }),
    });
    expect(response.status).toEqual(200);
    const release = released.pop();
    expect([release?.results, release?.load]).toEqual([RESULTS, undefined]);
  }
});
