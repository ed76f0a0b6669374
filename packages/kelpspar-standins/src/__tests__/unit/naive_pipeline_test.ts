import type { EndpointClient, TableService, VmList } from "kelpspar-backends";
import type { StageCall, StageRecord } from "kelpspar-shared";
import { expect } from "earl";
import { ManualTimer } from "kelpspar-shared";
import { test } from "node:test";
import { createConfiguration } from "../../experiments/site/experiment_configuration.ts";
import { NaivePipeline } from "../../naive/naive_pipeline.ts";
import { NaiveView } from "../../naive/naive_view.ts";
import { InMemoryTable } from "../../table/in_memory_table.ts";

const SERVICES = ["encoder", "retriever", "reranker", "engine", "booking"];

/** A VM list with two endpoints of each service. */
const VM_LIST: VmList = {
  list: async () => ({
    sequence: 1,
    vms: SERVICES.flatMap((service) =>
      [1, 2].map((port) => ({
        id: `${service}-${port}`,
        incarnation: "i",
        address: "127.0.0.1",
        port,
        availabilityZone: "a",
        kind: "endpoint" as const,
        service,
        state: "live" as const,
        checksFencing: true,
      }))
    ),
  }),
};

/** Runs every call, but drops the answers of the first `lost` bookings. */
function createEndpoints(
  options: { readonly lost: number; readonly calls: string[] },
): EndpointClient {
  let lost = options.lost;
  return {
    call: async function* (
      endpoint: { readonly port: number },
      call: StageCall,
    ): AsyncGenerator<StageRecord> {
      options.calls.push(`${call.stageId}:${endpoint.port}`);
      if (call.stageId === "booking" && lost-- > 0) {
        throw new Error("connection reset");
      }
      const { requestId, stageId, attemptId, input } = call;
      const ids = { requestId, stageId, attemptId };
      yield { type: "chunk", ...ids, offset: 0, text: `${stageId} ${input}` };
      const cost = { runnerMilliseconds: 1, tokensIn: 0, tokensOut: 0 };
      yield { type: "end", ...ids, length: 0, ...cost };
    },
  } as unknown as EndpointClient;
}

async function createView(table: TableService): Promise<NaiveView> {
  const view = new NaiveView({ table, vmList: VM_LIST });
  const stop = view.start(new ManualTimer());
  await view.apply({ changeId: "1", configuration: createConfiguration() });
  stop();
  return view;
}

async function book(lost: number): Promise<{
  readonly calls: readonly string[];
  readonly text: string | undefined;
}> {
  const timer = new ManualTimer();
  const calls: string[] = [];
  const pipeline = new NaivePipeline({
    endpoints: createEndpoints({ lost, calls }),
    view: await createView(new InMemoryTable({ timer })),
    timer,
  });
  const request = { requestId: "r", accountId: "a", input: "x" };
  const answer = await pipeline.run({ ...request, pipeline: "booking" })
    .catch(() => undefined);
  return { calls, text: answer?.text };
}

test("the naive arm runs the stages in order, round robin over endpoints", async () => {
  const { calls, text } = await book(0);
  expect(calls.map((call) => call.split(":")[0])).toEqual(SERVICES);
  expect(text).toEqual("booking engine reranker retriever encoder x");
});

test("the naive arm repeats a booking whose answer was lost", async () => {
  // The endpoint books, but the connection drops before its answer arrives. A
  // retry without an idempotency check then books a second truck for the same
  // quarter section.
  const { calls, text } = await book(1);
  expect(calls.filter((call) => call.startsWith("booking")).length)
    .toEqual(2);
  expect(text === undefined).toEqual(false);
  const exhausted = await book(9);
  expect(exhausted.calls.filter((call) => call.startsWith("booking")).length)
    .toEqual(4);
  expect(exhausted.text).toEqual(undefined);
});

test("the last write wins between two operators of the naive arm", async () => {
  const table = new InMemoryTable({ timer: new ManualTimer() });
  const first = await createView(table);
  const second = await createView(table);
  const configuration = createConfiguration();
  expect(await first.apply({ changeId: "a", configuration })).toEqual(3);
  expect(await second.apply({ changeId: "b", configuration })).toEqual(4);
  expect(first.row?.changeId).toEqual("a");
});
