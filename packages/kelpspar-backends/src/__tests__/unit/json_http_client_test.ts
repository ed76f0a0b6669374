import type { TestContext } from "node:test";
import { expect } from "earl";
import { test } from "node:test";
import { ManualTimer } from "kelpspar-shared";
import { ExchangeError, JsonHttpClient } from "../../mod.ts";
import {
  findClosedPort,
  json,
  reset,
  ScriptedServer,
  silence,
} from "../support/scripted_server.ts";

/** A test that would wait for ever fails after this time instead. */
const LIMIT = { timeout: 30_000 };
const TIMEOUT_MILLISECONDS = 1_000;
const EXCHANGE = { method: "POST", path: "/v1/x", body: { a: 1 } } as const;

function withClient(
  run: (bench: {
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
  "exchanges share a connection, and statuses are for the asker to judge",
  LIMIT,
  withClient(async ({ server, client }) => {
    for (const status of [200, 409, 503]) {
      server.answer = json({ status }, status);
      expect(await client.exchange(EXCHANGE))
        .toEqual({ status, body: { status } });
    }
    expect(server.connections).toEqual(1);
    expect(server.seen[0]?.body).toEqual('{"a":1}');
  }),
);

test(
  "a connection that went silent costs one exchange and is replaced",
  LIMIT,
  // Symptom: every call to the platform times out while the platform is well.
  // Sequence: the only pooled connection goes silent for good.
  // Cause: the next exchange is sent on the connection that timed out.
  withClient(async ({ server, client, timer }) => {
    await client.exchange(EXCHANGE);
    const silent = server.seen[0]?.socket;
    server.answer = (response, request) => {
      if (request.socket !== silent) json({ ok: true })(response, request);
    };
    const lost = failureOf(client.exchange(EXCHANGE));
    await server.untilSeen(2);
    await timer.advance(TIMEOUT_MILLISECONDS);
    expect((await lost).mayHaveArrived).toEqual(true);
    expect(await client.exchange(EXCHANGE))
      .toEqual({ status: 200, body: { ok: true } });
    expect(server.connections).toEqual(2);
  }),
);

test(
  "only a connection that was never made proves that nothing arrived",
  LIMIT,
  withClient(async ({ server, client, timer }) => {
    for (const answer of [reset, silence, cutBody, noJson]) {
      server.answer = answer;
      const seen = server.seen.length;
      const lost = failureOf(client.exchange(EXCHANGE));
      await server.untilSeen(seen + 1);
      if (answer === silence) await timer.advance(TIMEOUT_MILLISECONDS);
      expect((await lost).mayHaveArrived).toEqual(true);
    }
    const origin = `http://127.0.0.1:${await findClosedPort()}`;
    const nobody = new JsonHttpClient({ origin, timer });
    const refused = await failureOf(nobody.exchange(EXCHANGE));
    expect(refused.mayHaveArrived).toEqual(false);
    await nobody.close();
  }),
);

const cutBody: ScriptedServer["answer"] = (response, { socket }) => {
  response.writeHead(200, { "content-length": "100" });
  response.write('{"a":', () => socket.destroy());
};

const noJson: ScriptedServer["answer"] = (response) => {
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
