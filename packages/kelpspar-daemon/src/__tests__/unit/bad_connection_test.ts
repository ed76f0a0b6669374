import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { TestContext } from "node:test";
import type { EndRecord } from "kelpspar-shared";
import type { FakeCall } from "../support/fake_endpoints.ts";
import type { TestDaemon } from "../support/test_daemon.ts";
import { expect } from "earl";
import { once } from "node:events";
import { test } from "node:test";
import { extendChecksum, formatChecksum } from "kelpspar-shared";
import {
  exchange,
  openExchange,
  openSocket,
  readAnswer,
} from "../support/http_exchange.ts";
import {
  expectFailure,
  expectServed,
  readRecords,
  startTestDaemon,
  waitUntil,
} from "../support/test_daemon.ts";
import { KEYS } from "../support/test_site.ts";

/** Fails a test that would otherwise hang. */
const LIMIT = { timeout: 30_000 };
/** More than the socket buffers hold, so that backpressure applies. */
const CHUNK_COUNT = 64;
const CHUNK_LENGTH = 256 * 1024;
const SUBMISSION = {
  pipeline: "echo",
  input: "lime",
  deadlineMilliseconds: 60_000,
};

/** Runs a test with its own daemon, which must still serve at the end. */
function withDaemon(
  limits: Readonly<Record<string, number>>,
  run: (site: TestDaemon) => Promise<void>,
): (t: TestContext) => Promise<void> {
  return async (t) => {
    const site = await startTestDaemon({ settings: { limits } });
    t.after(() => site.daemon.stop());
    await run(site);
    await expectServed(site.port);
  };
}

const START = "POST /v1/requests HTTP/1.1\r\nhost: x\r\n";
const HEADERS = `${START}authorization: Bearer ${KEYS.small}\r\n`;

/** The bytes sent and the limit that they exceed. */
const SLOW: Readonly<Record<string, readonly [string, object]>> = {
  "a first byte": ["P", { headersTimeoutMilliseconds: 500 }],
  "some headers": [START, { headersTimeoutMilliseconds: 500 }],
  "a part of a body": [
    `${HEADERS}content-length: 100\r\n\r\n{"pipeline"`,
    { bodyTimeoutMilliseconds: 500 },
  ],
};

for (const [name, [text, limit]] of Object.entries(SLOW)) {
  const limits = {
    headersTimeoutMilliseconds: 60_000,
    bodyTimeoutMilliseconds: 60_000,
    ...limit,
  };
  test(
    `a connection that stalls after ${name} is refused as too slow`,
    LIMIT,
    withDaemon(limits, async ({ port }) => {
      const socket = await openSocket(port, text);
      expectFailure(await readAnswer(socket), "request_too_slow");
      socket.destroy();
    }),
  );
}

test(
  "a caller that disconnects while sending its body affects no other caller",
  LIMIT,
  withDaemon({}, async ({ port, ports }) => {
    const socket = await openSocket(
      port,
      `${HEADERS}content-length: 9\r\n\r\n{`,
    );
    socket.resetAndDestroy();
    await expectServed(port);
    expect(ports.endpoints.calls.length).toEqual(1);
  }),
);

test(
  "a call is aborted when its caller disconnects during the answer",
  LIMIT,
  // Failure: endpoints run calls for disconnected callers. A caller reads part
  // of its answer and closes its connection, and the call is not aborted.
  withDaemon({ abandonedGraceMilliseconds: 0 }, async ({ port, ports }) => {
    const called = nextCall(ports.endpoints);
    const answer = await submit(port);
    const call = await called;
    const aborted = once(call.options.signal, "abort");
    answer.destroy();
    await aborted;
    await waitUntil(async () => await stateOf(port, call) === "cancelled");
  }),
);

test(
  "a slow caller gets its complete answer and delays no other caller",
  LIMIT,
  withDaemon({}, async ({ port, ports }) => {
    const { answer, text } = await startLargeAnswer(port, ports.endpoints);
    await expectServed(port);
    let received = "";
    for await (const piece of answer.setEncoding("utf8")) {
      received += String(piece);
    }
    const records = readRecords(received);
    const chunks = records.flatMap((record) =>
      record.type === "chunk" ? [record.text] : []
    );
    expect(chunks.join("") === text).toEqual(true);
    const end = records.at(-1) as EndRecord;
    expect(end.length).toEqual(text.length);
    expect(end.checksum).toEqual(formatChecksum(extendChecksum(0, text)));
  }),
);

test(
  "a planned stop ends even if a caller has stopped reading",
  LIMIT,
  async (t) => {
    // Failure: a stopping daemon never ends. A caller stops reading a long
    // answer, the daemon is stopped and its stop limit passes; the HTTP server
    // waits without a limit for answers that nobody reads.
    const { daemon, port, ports } = await startTestDaemon({
      settings: { limits: { drainLimitMilliseconds: 1_000 } },
    });
    const { answer } = await startLargeAnswer(port, ports.endpoints);
    t.after(() => answer.destroy());
    await daemon.stop();
  },
);

test(
  "a refused connection is closed even if its caller keeps it open",
  LIMIT,
  // Failure: the daemon runs out of connections, and a stop never ends. A caller
  // sends bytes that are not HTTP, reads the refusal and neither closes its side
  // nor sends more; the daemon closes only its own side, and Node.js applies no
  // timeout after a parse error.
  withDaemon({}, async ({ port }) => {
    const socket = await openSocket(port, "hello\r\n\r\n");
    expectFailure(await readAnswer(socket), "malformed_request");
    await waitUntilClosed(socket);
  }),
);

interface LargeAnswer {
  /** Paused after its headers. */
  readonly answer: IncomingMessage;
  readonly text: string;
}

/** Starts an answer that the daemon completes while its caller reads nothing. */
async function startLargeAnswer(
  port: number,
  endpoints: TestDaemon["ports"]["endpoints"],
): Promise<LargeAnswer> {
  const piece = "x".repeat(CHUNK_LENGTH);
  const called = nextCall(endpoints);
  const answer = await submit(port);
  const call = await called;
  for (let index = 0; index < CHUNK_COUNT; index++) {
    call.chunk(index * CHUNK_LENGTH, piece);
  }
  const text = piece.repeat(CHUNK_COUNT);
  call.end(text.length);
  call.close();
  await waitUntil(async () => await stateOf(port, call) === "completed");
  return { answer, text };
}

/** Hands the next call to the test; later calls are answered immediately. */
function nextCall(
  endpoints: TestDaemon["ports"]["endpoints"],
): Promise<FakeCall> {
  const { onCall } = endpoints;
  return new Promise((resolve) => {
    endpoints.onCall = (call) => {
      endpoints.onCall = onCall;
      resolve(call);
    };
  });
}

function submit(port: number): Promise<IncomingMessage> {
  const path = "/v1/requests";
  return openExchange({ port, path, key: KEYS.small, body: SUBMISSION });
}

async function stateOf(port: number, call: FakeCall): Promise<string> {
  const path = `/v1/operator/requests/${call.call.requestId}`;
  const answer = await exchange({ port, path, key: KEYS.viewer });
  return (JSON.parse(answer.text) as { readonly state: string }).state;
}

async function waitUntilClosed(socket: Socket): Promise<void> {
  // Only a write shows that the other side has closed completely.
  while (!socket.destroyed) {
    socket.write("x");
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
}
