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
  neverAnswer,
  reset,
  ScriptedServer,
} from "../support/scripted_server.ts";

/** Fails a test that would otherwise wait forever. */
const TEST_OPTIONS = { timeout: 30_000 };
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

const NEW_CONNECTION = { newConnection: true };
/** For services that send all records at once. */
const NOT_STREAMED = { isStream: false };

interface Fixture {
  readonly server: ScriptedServer;
  readonly client: HttpEndpointClient;
  readonly timer: ManualTimer;
  readonly endpoint: EndpointAddress;
}

function withFixture(
  run: (fixture: Fixture) => Promise<void>,
): (t: TestContext) => Promise<void> {
  return async (t) => {
    const server = await ScriptedServer.start();
    const timer = new ManualTimer();
    const client = new HttpEndpointClient({ timer });
    t.after(async () => {
      await client.close();
      await server.close();
    });
    server.answer = answerRecords;
    await run({ server, client, timer, endpoint: createAddress(server.port) });
  };
}

test(
  "sequential calls share a connection; a non-repeatable call gets a new one",
  TEST_OPTIONS,
  withFixture(async ({ server, client, endpoint }) => {
    for (const options of [{}, {}, NOT_STREAMED, NOT_STREAMED]) {
      expect(await callOnce(client, endpoint, options)).toEqual(RECORDS);
      expect(server.connections).toEqual(1);
    }
    for (let call = 2; call <= 3; call++) {
      expect(await callOnce(client, endpoint, NEW_CONNECTION)).toEqual(RECORDS);
      expect(server.connections).toEqual(call);
    }
    await callOnce(client, endpoint);
    expect(server.connections).toEqual(3);
    expect(server.received.every(({ body }) => body === JSON.stringify(CALL)))
      .toEqual(true);
  }),
);

test(
  "later calls use renewed connections, and calls in flight continue",
  TEST_OPTIONS,
  withFixture(async ({ server, client, endpoint }) => {
    // Guards against calls that hang on silent connections: whatever loses the
    // state of one connection to an endpoint loses that of all, and the next
    // call would use another connection of the same age.
    let finish = (): void => {};
    server.answer = (response) => {
      response.write(line(RECORDS[0]));
      finish = () => {
        response.end(line(RECORDS[1]));
      };
      server.answer = answerRecords;
    };
    const inFlight = callOnce(client, endpoint);
    await server.waitForRequests(1);
    await callOnce(client, endpoint);
    const old = server.received.map(({ socket }) => socket);
    client.renewConnections(endpoint);
    expect(await callOnce(client, endpoint)).toEqual(RECORDS);
    const next = server.received.at(-1)?.socket;
    expect(next !== undefined && old.includes(next)).toEqual(false);
    finish();
    expect(await inFlight).toEqual(RECORDS);
  }),
);

test(
  "only a refused connection proves that an endpoint received nothing",
  TEST_OPTIONS,
  withFixture(async ({ server, client, endpoint }) => {
    // Guards against a booking that is made twice: an endpoint receives the
    // call, runs it and crashes, and the reset is treated as a refusal.
    const answers: readonly ScriptedAnswer[] = [
      reset,
      cutStream,
      invalidJson,
      json({}, 500),
    ];
    for (const answer of answers) {
      server.answer = answer;
      for (const options of [{}, NEW_CONNECTION, NOT_STREAMED]) {
        const call = callOnce(client, endpoint, options);
        expect(await failureOf(call))
          .toEqual(["endpoint_failed", "outcome_unknown"]);
      }
    }
    const unreachable = createAddress(await findClosedPort());
    expect(await failureOf(callOnce(client, unreachable)))
      .toEqual(["endpoint_refused", "not_run"]);
  }),
);

test(
  "an aborted call ends immediately with an unknown outcome",
  TEST_OPTIONS,
  withFixture(async ({ server, client, endpoint }) => {
    server.answer = neverAnswer;
    const abort = new AbortController();
    const options = { signal: abort.signal, newConnection: false };
    const call = readAll(client.call(endpoint, CALL, options));
    await server.waitForRequests(1);
    abort.abort(new Error("the result is no longer needed"));
    expect((await failureOf(call))[1]).toEqual("outcome_unknown");
    server.answer = answerRecords;
    expect(await callOnce(client, endpoint)).toEqual(RECORDS);
    const [aborted, next] = server.received;
    expect(next?.socket === aborted?.socket).toEqual(false);
  }),
);

test(
  "control calls use new connections and time out",
  TEST_OPTIONS,
  withFixture(async ({ server, client, endpoint, timer }) => {
    await callOnce(client, endpoint);
    server.answer = json({});
    await client.cancel(endpoint, "a/b");
    expect({ ...server.received.at(-1) }).toLooseEqual(expect.subset({
      method: "DELETE",
      path: "/v1/calls/a%2Fb",
    }));
    expect(server.connections).toEqual(2);
    server.answer = neverAnswer;
    const load = failureOf(client.load(endpoint));
    await server.waitForRequests(3);
    await timer.advance(CONTROL_TIMEOUT_MILLISECONDS);
    expect((await load)[0]).toEqual("endpoint_failed");
    server.answer = json({}, 409);
    const order = { group: "g", fencingNumber: 1, desired: EMPTY_STATE };
    expect((await failureOf(client.order(endpoint, order)))[0])
      .toEqual("stale_fencing_number");
  }),
);

const EMPTY_STATE = { models: {}, adapters: [], role: "any" } as const;

const answerRecords: ScriptedAnswer = (response) => {
  response.end(RECORDS.map(line).join(""));
};

const cutStream: ScriptedAnswer = (response, { socket }) => {
  response.write(line(RECORDS[0]), () => socket.destroy());
};

const invalidJson: ScriptedAnswer = (response) => {
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

/** Makes a call and waits until its connection is idle again. */
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
