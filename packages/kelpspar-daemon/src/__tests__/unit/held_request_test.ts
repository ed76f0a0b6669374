import type { ConfigurationRow } from "../../configuration/configuration_row.ts";
import type { PeerDigest } from "../../peers/peer_digest.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ManualTimer } from "kelpspar-shared";
import { startDaemon } from "../../daemon.ts";
import { exchange, openSocket } from "../support/http_exchange.ts";
import { expectFailure, waitUntil } from "../support/test_daemon.ts";
import { createTestPorts, UNREACHABLE_PEERS } from "../support/test_ports.ts";
import { createRow, createSettings, KEYS } from "../support/test_site.ts";

const BODY = JSON.stringify({
  pipeline: "echo",
  input: "lime",
  deadlineMilliseconds: 60_000,
});
const SETTINGS = createSettings({
  seeds: ["127.0.0.1:1"],
  limits: { abandonedGraceMilliseconds: 0 },
});

test("a request whose caller disconnects while it is held is not left running", async (t) => {
  // Failure: endpoints run requests of disconnected callers until their
  // deadlines. A request is held while a newer configuration is fetched from a
  // peer, and its caller closes the connection meanwhile; the request starts
  // after the close event, so nothing cancels it.
  const timer = new ManualTimer();
  let deliver = (_row: ConfigurationRow): void => {};
  const delivery = new Promise<ConfigurationRow>((resolve) => {
    deliver = resolve;
  });
  const ports = {
    ...createTestPorts(timer),
    peers: {
      ...UNREACHABLE_PEERS,
      exchange: async (_peer: unknown, digest: PeerDigest) =>
        createPeerDigest(digest, 2),
      configuration: () => delivery,
    },
  };
  await ports.table.commit({
    writes: [{ table: "configuration", key: "current", value: createRow(1) }],
  });
  const daemon = await startDaemon(SETTINGS, ports);
  t.after(() => stop(daemon, timer));
  const { port } = daemon;
  await timer.advance(50);
  ports.endpoints.onCall = () => {};
  const socket = await openSocket(port, createSubmission());
  await flushConnections(port);
  socket.resetAndDestroy();
  await flushConnections(port);
  expect(ports.endpoints.calls.length).toEqual(0);
  deliver(createRow(2));
  await timer.advance(300);
  for (const { options } of ports.endpoints.calls) {
    expect(options.signal.aborted).toEqual(true);
  }
});

test("a daemon without a configuration does not report a resubmission as not run", async (t) => {
  // Failure: a caller gets `not_run`, books again, and the booking is made
  // twice. The first submission got no answer and the second reaches a daemon
  // that has just started, which refuses it before reading the resubmission
  // flag.
  const timer = new ManualTimer();
  const daemon = await startDaemon(SETTINGS, createTestPorts(timer));
  t.after(() => stop(daemon, timer));
  const submission = {
    port: daemon.port,
    path: "/v1/requests",
    key: KEYS.small,
  };
  const body = { ...JSON.parse(BODY), idempotencyKey: "k" };
  const first = await exchange({ ...submission, body });
  expect(expectFailure(first, "no_configuration").outcome).toEqual("not_run");
  const again = await exchange({
    ...submission,
    body: { ...body, resubmission: true },
  });
  expect(expectFailure(again, "no_configuration").outcome)
    .toEqual("outcome_unknown");
});

function createSubmission(): string {
  return "POST /v1/requests HTTP/1.1\r\nhost: x\r\n" +
    `authorization: Bearer ${KEYS.small}\r\n` +
    `content-length: ${BODY.length}\r\n\r\n${BODY}`;
}

/** Waits until the daemon has handled everything it received before. */
async function flushConnections(port: number): Promise<void> {
  for (let turn = 0; turn < 3; turn++) {
    await exchange({ port, path: "/v1/health" });
  }
}

function createPeerDigest(digest: PeerDigest, revision: number): PeerDigest {
  const member = {
    ...digest.member,
    daemonId: "daemon-2",
    incarnation: "daemon-2-a",
    revision,
  };
  return { ...digest, member, demands: [] };
}

async function stop(
  daemon: Awaited<ReturnType<typeof startDaemon>>,
  timer: ManualTimer,
): Promise<void> {
  let isStopped = false;
  void daemon.stop().then(() => {
    isStopped = true;
  });
  await waitUntil(async () => {
    await timer.advance(100);
    return isStopped;
  });
}
