import type { RelayMessage } from "../../relay/relay_message.ts";
import { expect } from "earl";
import { MAXIMUM_BODY_BYTES } from "kelpspar-http";
import { SystemTimer } from "kelpspar-shared";
import { ENDLESS_BYTES, EndlessServer } from "kelpspar-standins";
import { after, before, test } from "node:test";
import { PeerClient } from "../../fleet/peer_client.ts";
import { MalformedAnswers } from "../../exchange/malformed_answers.ts";
import { relayRequest } from "../../relay/relay_client.ts";

/** The limit, and the rest of a read of the socket that begins within it. */
const MAXIMUM_BYTES_READ = (64 + 64) * 1024;
const MAXIMUM_REFUSAL_BYTES = 64 * 1024;
/** Processor time, below the timeouts of all calls. */
const MAXIMUM_MILLISECONDS = 400;
const CALL_TIMEOUT_MILLISECONDS = 1_000;

const MESSAGE: RelayMessage = {
  configurationVersion: 1,
  attemptsLeft: 1,
  request: {
    attemptId: "a1",
    method: "GET",
    host: "h",
    target: "/",
    headers: [],
    callerKey: undefined,
    deadlineMilliseconds: 5_000,
    promptParts: [],
    pieceCounts: [],
    pieceKey: "",
    lastEventId: undefined,
    resumedAttemptId: undefined,
    body: Buffer.alloc(0),
  },
};

const timer = new SystemTimer();
const malformedAnswers = new MalformedAnswers();
const server = new EndlessServer();

before(() => server.start());
after(() => {
  server.stop();
  setImmediate(() => process.exit());
});

const CALLS: Readonly<Record<string, (peer: string) => Promise<unknown>>> = {
  "a daemon": (peer) =>
    new PeerClient({ timer, malformedAnswers }).answerTimes(peer).catch(
      () => {},
    ),
  "a daemon to which a request is relayed": async (peer) => {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS);
    const relayed = await relayRequest({
      peer,
      message: MESSAGE,
      timer,
      malformedAnswers,
      signal,
    });
    expect(relayed.type).toEqual("unknown");
  },
};

// Guards against bytes without end that keep a daemon busy until a call to
// another one times out.
for (const [client, call] of Object.entries(CALLS)) {
  for (const [name, bytes] of Object.entries(ENDLESS_BYTES)) {
    test(`${client} that sends ${name} without end is cut off`, async () => {
      const measured = await server.measure(bytes, call);
      expect(measured.processorMilliseconds).toBeLessThan(MAXIMUM_MILLISECONDS);
      expect(measured.bytesRead).toBeLessThanOrEqual(MAXIMUM_BYTES_READ);
      expect(measured.isClosed).toEqual(true);
    });
  }
}

// Guards against a body without end that fills a daemon's memory.
for (
  const [client, maximumBytes] of [
    ["a daemon", MAXIMUM_BODY_BYTES],
    ["a daemon to which a request is relayed", MAXIMUM_REFUSAL_BYTES],
  ] as const
) {
  test(`${client} that sends a body without end is cut off`, async () => {
    const measured = await server.measure(
      {
        start: "HTTP/1.1 200 OK\r\n\r\n",
        repeated: "x",
        maximumBytes: 3 * MAXIMUM_BODY_BYTES,
      },
      async (peer) => await CALLS[client]?.(peer),
    );
    expect(measured.bytesRead).toBeLessThanOrEqual(
      maximumBytes + 2 * MAXIMUM_BYTES_READ,
    );
    expect(measured.isClosed).toEqual(true);
  });
}
