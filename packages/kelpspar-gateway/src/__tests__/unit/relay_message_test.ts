import type { AddressInfo } from "node:net";
import { expect } from "earl";
import { CallerBudget } from "kelpspar-http";
import { ManualTimer, SeededRandom } from "kelpspar-shared";
import { once } from "node:events";
import { createServer } from "node:http";
import { test } from "node:test";
import { OpenExchanges } from "../../front/open_exchanges.ts";
import { PeerRelay } from "../../relay/peer_relay.ts";
import { relayRequest } from "../../relay/relay_client.ts";
import { createRelayListener } from "../../relay/relay_listener.ts";
import {
  decodeRelayMessage,
  encodeRelayMessage,
  relayMessageBytes,
} from "../../relay/relay_message.ts";
import { request } from "../support/request_world.ts";

const MEBIBYTE = 1024 * 1024;

function createMessage(
  length: number,
): Parameters<typeof encodeRelayMessage>[0] {
  const body = Buffer.from(Array.from({ length }, (_, index) => index % 251));
  return {
    configurationVersion: 1,
    attemptsLeft: 2,
    request: request({ body, deadlineMilliseconds: 1_000, target: '/"ü' }),
  };
}

// Guards against a body that is changed where its encoded parts meet.
test("a relayed body arrives unchanged at any length", () => {
  for (const length of [0, 1, 2, 3, 49_151, 49_152, 49_153, 98_305]) {
    const message = createMessage(length);
    const { body } = message.request;
    const padded = Buffer.concat([Buffer.alloc(7), body]);
    const inside = { ...message.request, body: padded.subarray(7) };
    const encoded = encodeRelayMessage({ ...message, request: inside });
    const decoded = decodeRelayMessage(encoded).request;
    expect(Buffer.from(decoded.body).equals(body)).toEqual(true);
    expect(decoded.target).toEqual('/"ü');
    expect(encoded.length).toBeLessThanOrEqual(relayMessageBytes(message));
  }
});

// Guards against copies for other daemons that fill the memory, and against a
// daemon that is taken for dead since there is no memory here.
test("a request isn't relayed without memory for its copy", async () => {
  const timer = new ManualTimer();
  const budget = new CallerBudget({ timer, maximumBytes: 8 * MEBIBYTE });
  const kept = budget.open({ state: "kept" });
  kept.set(6 * MEBIBYTE);
  let failedCalls = 0;
  const relay = new PeerRelay({
    isolation: { isIsolated: true, verified: () => Promise.resolve(true) },
    membership: {
      relayCandidates: () => [],
      isStalled: () => false,
      reportFailedCall: () => failedCalls++,
    },
    coordinator: () => undefined,
    timer,
    random: new SeededRandom(1),
    malformedAnswers: { publish: () => {} },
    budget,
  });
  const send = (length: number): ReturnType<PeerRelay["send"]> =>
    relay.send({
      peer: {
        daemonId: "d2",
        front: "",
        peer: "127.0.0.1:1",
        zone: "a",
        cores: 1,
      },
      message: createMessage(length),
      signal: new AbortController().signal,
    });
  expect(await send(MEBIBYTE)).toEqual({
    type: "unreachable",
    reason: "no memory for a copy",
  });
  expect([relay.sent, failedCalls]).toEqual([0, 0]);
  expect((await send(4)).type).toEqual("unreachable");
  expect([relay.sent, failedCalls]).toEqual([1, 1]);
  expect(budget.bytes).toEqual(6 * MEBIBYTE);
});

// Guards against relayed requests that fill the memory, and against a refusal
// that ends the request though another daemon could serve it.
test("a daemon without memory for a relayed request is unable", async () => {
  const timer = new ManualTimer();
  const budget = new CallerBudget({ timer, maximumBytes: 8 * MEBIBYTE });
  const kept = budget.open({ state: "kept" });
  kept.set(6 * MEBIBYTE);
  let served = 0;
  const server = createServer(createRelayListener({
    serve: (message, reply) => {
      served = message.request.body.length;
      reply.refuse({ status: 503, message: "served" });
      return Promise.resolve();
    },
    isAble: () => true,
    exchanges: new OpenExchanges(),
    budget,
    otherwise: () => {},
  })).listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const relay = (): ReturnType<typeof relayRequest> =>
    relayRequest({
      peer: `127.0.0.1:${port}`,
      message: createMessage(MEBIBYTE),
      timer,
      malformedAnswers: { publish: () => {} },
      signal: new AbortController().signal,
    });
  expect(await relay()).toEqual({
    type: "refused",
    refusal: {
      status: 503,
      message: "no memory for the relayed request",
      retryAfterMilliseconds: 500,
      isUnable: true,
    },
  });
  expect(served).toEqual(0);
  kept.end();
  await timer.advance(1_000);
  expect(await relay()).toEqual({
    type: "refused",
    refusal: { status: 503, message: "served", isUnable: false },
  });
  expect(served).toEqual(MEBIBYTE);
  expect(budget.bytes).toEqual(0);
  server.close();
});
