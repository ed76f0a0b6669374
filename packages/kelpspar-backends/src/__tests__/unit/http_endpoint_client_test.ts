import type { TestContext } from "node:test";
import type { EndpointAddress, StageRecord } from "kelpspar-shared";
import type { StageCallOptions } from "../../mod.ts";
import type { ScriptedAnswer } from "../support/scripted_server.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ManualTimer, toKelpsparError } from "kelpspar-shared";
import { HttpEndpointClient } from "../../mod.ts";
import {
  findClosedPort,
  json,
  reset,
  ScriptedServer,
  silence,
} from "../support/scripted_server.ts";

/** A test that would wait for ever fails after this time instead. */
const LIMIT = { timeout: 30_000 };
const CONTROL_TIMEOUT_MILLISECONDS = 1_000;
const IDS = { requestId: "r", stageId: "s", attemptId: "a" };
const CALL = {
  ...IDS,
  accountId: "small",
  priority: 5,
  remainingMilliseconds: 1_000,
  input: "lime",
};
const RECORDS: readonly StageRecord[] = [
  { type: "chunk", ...IDS, offset: 0, text: "lime" },
  {
    type: "end",
    ...IDS,
    length: 4,
    runnerMilliseconds: 1,
    tokensIn: 1,
    tokensOut: 1,
  },
];

const OWN = { newConnection: true };
/** For services that answer at once. */
const WHOLE = { isStream: false };

interface Bench {
  readonly server: ScriptedServer;
  readonly client: HttpEndpointClient;
  readonly timer: ManualTimer;
  readonly endpoint: EndpointAddress;
}

function withBench(
  run: (bench: Bench) => Promise<void>,
): (t: TestContext) => Promise<void> {
  return async (t) => {
    const server = await ScriptedServer.start();
    const timer = new ManualTimer();
    const client = new HttpEndpointClient({ timer });
    t.after(async () => {
      await client.close();
      await server.close();
    });
    server.answer = streams;
    await run({ server, client, timer, endpoint: createAddress(server.port) });
  };
}

test(
  "calls in a row share a connection; one that must not be repeated has its own",
  LIMIT,
  withBench(async ({ server, client, endpoint }) => {
    for (const options of [{}, {}, WHOLE, WHOLE]) {
      expect(await callOnce(client, endpoint, options)).toEqual(RECORDS);
      expect(server.connections).toEqual(1);
    }
    for (let call = 2; call <= 3; call++) {
      expect(await callOnce(client, endpoint, OWN)).toEqual(RECORDS);
      expect(server.connections).toEqual(call);
    }
    await callOnce(client, endpoint);
    expect(server.connections).toEqual(3);
    expect(server.seen.every(({ body }) => body === JSON.stringify(CALL)))
      .toEqual(true);
  }),
);

test(
  "renewed connections carry later calls, and those in flight go on",
  LIMIT,
  withBench(async ({ server, client, endpoint }) => {
    // Symptom: calls hang on connections that are known to be silent.
    // Sequence: one connection to an endpoint went silent; the next call takes
    // another one of the same age.
    // Cause: whatever lost track of one connection lost track of all.
    let finish = (): void => {};
    server.answer = (response) => {
      response.write(line(RECORDS[0]));
      finish = () => {
        response.end(line(RECORDS[1]));
      };
      server.answer = streams;
    };
    const inFlight = callOnce(client, endpoint);
    await server.untilSeen(1);
    await callOnce(client, endpoint);
    const old = server.seen.map(({ socket }) => socket);
    client.renewConnections(endpoint);
    expect(await callOnce(client, endpoint)).toEqual(RECORDS);
    const next = server.seen.at(-1)?.socket;
    expect(next !== undefined && old.includes(next)).toEqual(false);
    finish();
    expect(await inFlight).toEqual(RECORDS);
  }),
);

test(
  "only a refused connection proves that an endpoint received nothing",
  LIMIT,
  withBench(async ({ server, client, endpoint }) => {
    // Symptom: a booking is made twice.
    // Sequence: an endpoint receives the call, runs it and dies.
    // Cause: a reset after the call was sent is taken for a refusal.
    const answers: readonly ScriptedAnswer[] = [
      reset,
      cutStream,
      notJson,
      json({}, 500),
    ];
    for (const answer of answers) {
      server.answer = answer;
      for (const options of [{}, OWN, WHOLE]) {
        const call = callOnce(client, endpoint, options);
        expect(await failureOf(call))
          .toEqual(["endpoint_failed", "outcome_unknown"]);
      }
    }
    const nobody = createAddress(await findClosedPort());
    expect(await failureOf(callOnce(client, nobody)))
      .toEqual(["endpoint_refused", "not_run"]);
  }),
);

test(
  "an aborted call ends at once and proves nothing",
  LIMIT,
  withBench(async ({ server, client, endpoint }) => {
    server.answer = silence;
    const abort = new AbortController();
    const options = { signal: abort.signal, newConnection: false };
    const call = readAll(client.call(endpoint, CALL, options));
    await server.untilSeen(1);
    abort.abort(new Error("nobody waits for it"));
    expect((await failureOf(call))[1]).toEqual("outcome_unknown");
    server.answer = streams;
    expect(await callOnce(client, endpoint)).toEqual(RECORDS);
    const [aborted, next] = server.seen;
    expect(next?.socket === aborted?.socket).toEqual(false);
  }),
);

test(
  "control calls use new connections and do not wait for ever",
  LIMIT,
  withBench(async ({ server, client, endpoint, timer }) => {
    await callOnce(client, endpoint);
    server.answer = json({});
    await client.cancel(endpoint, "a/b");
    expect({ ...server.seen.at(-1) }).toLooseEqual(expect.subset({
      method: "DELETE",
      path: "/v1/calls/a%2Fb",
    }));
    expect(server.connections).toEqual(2);
    server.answer = silence;
    const load = failureOf(client.load(endpoint));
    await server.untilSeen(3);
    await timer.advance(CONTROL_TIMEOUT_MILLISECONDS);
    expect((await load)[0]).toEqual("endpoint_failed");
    server.answer = json({}, 409);
    const order = { group: "g", fencingNumber: 1, desired: NOTHING };
    expect((await failureOf(client.order(endpoint, order)))[0])
      .toEqual("stale_fencing_number");
  }),
);

const NOTHING = { models: {}, adapters: [], role: "any" } as const;

const streams: ScriptedAnswer = (response) => {
  response.end(RECORDS.map(line).join(""));
};

const cutStream: ScriptedAnswer = (response, { socket }) => {
  response.write(line(RECORDS[0]), () => socket.destroy());
};

const notJson: ScriptedAnswer = (response) => {
  response.end("no record\n");
};

function line(record: StageRecord | undefined): string {
  return JSON.stringify(record) + "\n";
}

function createAddress(port: number): EndpointAddress {
  return {
    endpointId: "e",
    incarnation: "a",
    address: "127.0.0.1",
    port,
    availabilityZone: "a",
    service: "encode",
    checksFencing: false,
  };
}

/** Makes a call and lets its connection become free again. */
async function callOnce(
  client: HttpEndpointClient,
  endpoint: EndpointAddress,
  options: Partial<StageCallOptions> = {},
): Promise<readonly StageRecord[]> {
  const { signal } = new AbortController();
  const records = await readAll(
    client.call(endpoint, CALL, { signal, newConnection: false, ...options }),
  );
  await new Promise<void>((resolve) => setImmediate(resolve));
  return records;
}

async function readAll(
  stream: AsyncIterable<StageRecord>,
): Promise<readonly StageRecord[]> {
  const records: StageRecord[] = [];
  for await (const record of stream) records.push(record);
  return records;
}

async function failureOf(call: Promise<unknown>): Promise<readonly string[]> {
  try {
    await call;
  } catch (thrown) {
    const { result, outcome } = toKelpsparError(thrown);
    return [result, outcome];
  }
  return ["ok"];
}
