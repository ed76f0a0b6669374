import type { EndpointAddress, StageCall, StageRecord } from "kelpspar-shared";
import type { EndpointSettings } from "../../endpoint/endpoint_settings.ts";
import type { RunningEndpoint } from "../../endpoint/running_endpoint.ts";
import { test } from "node:test";
import { expect } from "earl";
import { HttpEndpointClient } from "kelpspar-backends";
import { ManualTimer, SystemTimer } from "kelpspar-shared";
import { engineAnswer } from "../../endpoint/engine/engine_answer.ts";
import { plainAnswer } from "../../endpoint/plain/plain_answer.ts";
import { startEndpoint } from "../../endpoint/start_endpoint.ts";

const INPUT = "book lime token=abc tokens=5";
const STEP_MILLISECONDS = 10;
const MAXIMUM_TURNS = 10_000;

interface TestEndpoint {
  readonly timer: ManualTimer;
  readonly endpoint: RunningEndpoint;
  readonly client: HttpEndpointClient;
  readonly address: EndpointAddress;
  call(changes?: Partial<StageCall>): AsyncIterator<StageRecord>;
}

async function withTestEndpoint(
  settings: EndpointSettings,
  run: (context: TestEndpoint) => Promise<void>,
): Promise<void> {
  const timer = new ManualTimer();
  const endpoint = await startEndpoint(settings, { timer });
  const client = new HttpEndpointClient({ timer: new SystemTimer() });
  const address = createAddress(endpoint);
  const call: TestEndpoint["call"] = (changes = {}) =>
    client.call(address, createCall(changes), {
      signal: new AbortController().signal,
      newConnection: true,
    })[Symbol.asyncIterator]();
  try {
    await run({ timer, endpoint, client, address, call });
  } finally {
    await client.close();
    await endpoint.close();
  }
}

test("silenced connections stay silent while new ones work", async () => {
  // A stream can stop without an error when a device between both ends loses the
  // connection's state: a connection without an error isn't necessarily working.
  const settings: EndpointSettings = {
    kind: "engine",
    service: "generate",
    engine: {
      models: { m: "1" },
      stepMilliseconds: STEP_MILLISECONDS,
      stepPerCallMilliseconds: 0,
      prefillPerTokenMilliseconds: 0,
    },
  };
  await withTestEndpoint(
    settings,
    async ({ timer, endpoint, client, address, call }) => {
      const silent = call({ attemptId: "a1" });
      const firstRecord = silent.next();
      await untilAccepted(timer, endpoint);
      const first = (await firstRecord).value as { readonly text: string };
      endpoint.silence();
      let received = false;
      const markReceived = (): void => {
        received = true;
      };
      void silent.next().then(markReceived, markReceived);
      await timer.advance(STEP_MILLISECONDS);
      expect((await client.load(address)).incarnation)
        .toEqual(endpoint.incarnation);
      await timer.advance(10 * STEP_MILLISECONDS);
      const text = await readText(call({
        attemptId: "a2",
        resumeAttemptId: "a1",
        resumeOffset: first.text.length,
      }));
      expect(first.text + text).toEqual(engineAnswer("m", INPUT, 5));
      expect(received).toEqual(false);
      expect(endpoint.executions()).toLooseEqual({
        ...endpoint.executions(),
        byToken: { abc: 1 },
        executions: 1,
        completed: 1,
      });
    },
  );
});

test("a plain service runs what it was sent, also when its answer is lost", async () => {
  // Guards against duplicate bookings: a call runs, its connection drops before
  // the response, and the caller retries because it takes a dropped connection as
  // proof that nothing ran.
  const settings: EndpointSettings = {
    kind: "plain",
    service: "book",
    faults: { loseAnswerShare: 1 },
  };
  await withTestEndpoint(settings, async ({ timer, endpoint, call }) => {
    const lost = readText(call()).catch(() => "lost");
    await untilAccepted(timer, endpoint);
    await timer.advance(100);
    expect(await lost).toEqual("lost");
    endpoint.setFaults({ loseAnswerShare: 0 });
    const again = readText(call());
    await untilAccepted(timer, endpoint, 2);
    await timer.advance(100);
    expect(await again).toEqual(plainAnswer("book", INPUT));
    expect(endpoint.executions()).toLooseEqual({
      ...endpoint.executions(),
      byToken: { abc: 2 },
      byRequest: { r1: 2 },
      completed: 2,
    });
  });
});

/** Waits for the network, not for time, until `count` calls have started. */
async function untilAccepted(
  timer: ManualTimer,
  endpoint: RunningEndpoint,
  count = 1,
): Promise<void> {
  for (let turn = 0; endpoint.executions().executions < count; turn++) {
    if (turn === MAXIMUM_TURNS) throw new Error("The call never started");
    await timer.settle();
  }
  await timer.advance(STEP_MILLISECONDS);
}

async function readText(
  records: AsyncIterator<StageRecord>,
): Promise<string> {
  let text = "";
  for (;;) {
    const { done, value } = await records.next();
    if (done === true) return text;
    if (value.type === "chunk") text += value.text;
  }
}

function createCall(changes: Partial<StageCall>): StageCall {
  return {
    requestId: "r1",
    stageId: "s1",
    attemptId: "a1",
    accountId: "large",
    priority: 0,
    remainingMilliseconds: 3_000,
    input: INPUT,
    model: "m",
    ...changes,
  };
}

function createAddress(endpoint: RunningEndpoint): EndpointAddress {
  return {
    endpointId: "e1",
    incarnation: "v1",
    address: endpoint.address,
    port: endpoint.port,
    availabilityZone: "z1",
    service: "s",
    checksFencing: true,
  };
}
