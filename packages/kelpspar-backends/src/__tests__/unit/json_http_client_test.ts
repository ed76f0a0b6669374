import type { TestContext } from "node:test";
import { expect } from "earl";
import { test } from "node:test";
import { ManualTimer } from "kelpspar-shared";
import { ExchangeError, JsonHttpClient } from "../../mod.ts";
import {
  findClosedPort,
  json,
  neverAnswer,
  reset,
  ScriptedServer,
} from "../support/scripted_server.ts";

/** Fails a test that would otherwise wait forever. */
const TEST_OPTIONS = { timeout: 30_000 };
const TIMEOUT_MILLISECONDS = 1_000;
const EXCHANGE = { method: "POST", path: "/v1/x", body: { a: 1 } } as const;

function withClient(
  run: (fixture: {
    readonly server: ScriptedServer;
    readonly client: JsonHttpClient;
    readonly timer: ManualTimer;
  }) => Promise<void>,
): (t: TestContext) => Promise<void> {
  return async (t) => {
    const server = await ScriptedServer.start();
    const timer = new ManualTimer();
    const { origin } = server;
    const client = new JsonHttpClient({ origin, timer, connections: 1 });
    t.after(async () => {
      await client.close();
      await server.close();
    });
    await run({ server, client, timer });
  };
}

test(
  "exchanges share a connection, and any status is returned to the caller",
  TEST_OPTIONS,
  withClient(async ({ server, client }) => {
    for (const status of [200, 409, 503]) {
      server.answer = json({ status }, status);
      expect(await client.exchange(EXCHANGE))
        .toEqual({ status, body: { status } });
    }
    expect(server.connections).toEqual(1);
    expect(server.received[0]?.body).toEqual('{"a":1}');
  }),
);

test(
  "a silent connection fails one exchange and is replaced",
  TEST_OPTIONS,
  // Guards against calls that all time out although the platform is healthy:
  // the only pooled connection goes silent, and later exchanges reuse it.
  withClient(async ({ server, client, timer }) => {
    await client.exchange(EXCHANGE);
    const silent = server.received[0]?.socket;
    server.answer = (response, request) => {
      if (request.socket !== silent) json({ ok: true })(response, request);
    };
    const lost = failureOf(client.exchange(EXCHANGE));
    await server.waitForRequests(2);
    await timer.advance(TIMEOUT_MILLISECONDS);
    expect((await lost).mayHaveArrived).toEqual(true);
    expect(await client.exchange(EXCHANGE))
      .toEqual({ status: 200, body: { ok: true } });
    expect(server.connections).toEqual(2);
  }),
);

test(
  "only a failed connect proves that nothing arrived",
  TEST_OPTIONS,
  withClient(async ({ server, client, timer }) => {
    for (const answer of [reset, neverAnswer, cutBody, invalidJson]) {
      server.answer = answer;
      const received = server.received.length;
      const lost = failureOf(client.exchange(EXCHANGE));
      await server.waitForRequests(received + 1);
      if (answer === neverAnswer) await timer.advance(TIMEOUT_MILLISECONDS);
      expect((await lost).mayHaveArrived).toEqual(true);
    }
    const origin = `http://127.0.0.1:${await findClosedPort()}`;
    const unreachable = new JsonHttpClient({ origin, timer });
    const refused = await failureOf(unreachable.exchange(EXCHANGE));
    expect(refused.mayHaveArrived).toEqual(false);
    await unreachable.close();
  }),
);

const cutBody: ScriptedServer["answer"] = (response, { socket }) => {
  response.writeHead(200, { "content-length": "100" });
  response.write('{"a":', () => socket.destroy());
};

const invalidJson: ScriptedServer["answer"] = (response) => {
  response.end("no JSON");
};

async function failureOf(exchange: Promise<unknown>): Promise<ExchangeError> {
  try {
    await exchange;
  } catch (thrown) {
    if (thrown instanceof ExchangeError) return thrown;
    throw thrown;
  }
  throw new Error("The exchange was answered");
}
