import type { ListedVm } from "kelpspar-backends";
import type { AnswerRecord, FailureRecord, ResultName } from "kelpspar-shared";
import type { Daemon } from "../../daemon.ts";
import type { TestPorts } from "./test_ports.ts";
import type { HttpAnswer } from "./http_exchange.ts";
import { expect } from "earl";
import { RESULT_CODES, SystemTimer } from "kelpspar-shared";
import { startDaemon } from "../../daemon.ts";
import { createDefaultAnswer } from "./fake_endpoints.ts";
import { exchange } from "./http_exchange.ts";
import { createTestPorts } from "./test_ports.ts";
import { createRow, createSettings, ENDPOINT_VMS, KEYS } from "./test_site.ts";

/** A complete daemon on a free port, with fakes for its dependencies. */
export interface TestDaemon {
  readonly daemon: Daemon;
  readonly port: number;
  readonly ports: TestPorts;
}

const MAXIMUM_TURNS = 20_000;
/** Limits how long requests left by a failed test delay the stop. */
const MAXIMUM_STOP_MILLISECONDS = 5_000;

/** Starts a daemon; resolves when it serves and its endpoints are listed. */
export async function startTestDaemon(
  options: {
    readonly settings?: Readonly<Record<string, unknown>>;
    readonly configuration?: Readonly<Record<string, unknown>>;
    readonly vms?: readonly ListedVm[];
  } = {},
): Promise<TestDaemon> {
  const vms = options.vms ?? ENDPOINT_VMS;
  const ports = createTestPorts(new SystemTimer(), { vms });
  const row = createRow(1, options.configuration);
  await ports.table.commit({
    writes: [
      { table: "configuration", key: "current", value: row },
      { table: "configuration", key: "revision/00000001", value: row },
    ],
  });
  const { limits = {}, ...others } = options.settings ?? {};
  const settings = createSettings({
    ...others,
    limits: {
      drainLimitMilliseconds: MAXIMUM_STOP_MILLISECONDS,
      ...(limits as object),
    },
  });
  const daemon = await startDaemon(settings, ports);
  const { port } = daemon;
  const endpoints = vms.filter((vm) => vm.kind === "endpoint").length;
  await waitUntil(async () => {
    const path = "/v1/operator/endpoints";
    const answer = await exchange({ port, path, key: KEYS.viewer });
    if (answer.status !== 200) return false;
    const listed = JSON.parse(answer.text) as { endpoints: unknown[] };
    return listed.endpoints.length === endpoints;
  });
  return { daemon, port, ports };
}

/** Polls a condition on each event loop turn until it is true. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let turn = 0; turn < MAXIMUM_TURNS; turn++) {
    if (await condition()) return;
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
  throw new Error(`Condition not met after ${MAXIMUM_TURNS} turns`);
}

/** Checks that a response is a complete, consistent failure record. */
export function expectFailure(
  answer: HttpAnswer,
  result: ResultName,
): FailureRecord {
  const row = RESULT_CODES[result];
  const record = JSON.parse(answer.text) as FailureRecord;
  expect(record).toLooseEqual(expect.subset({
    type: "failure",
    code: row.number,
    result,
    outcome: expect.a(String),
    retry: row.retry,
    message: expect.a(String),
  }));
  expect(answer.status).toEqual(row.httpStatus);
  return record;
}

/** Submits a valid request and checks that its answer is complete. */
export async function expectServed(port: number): Promise<void> {
  const answer = await exchange({
    port,
    path: "/v1/requests",
    key: KEYS.small,
    body: { pipeline: "echo", input: "lime", deadlineMilliseconds: 60_000 },
  });
  expect(answer.status).toEqual(200);
  const records = readRecords(answer.text);
  const text = createDefaultAnswer("encode", "lime");
  expect(records.map((record) => record.type))
    .toEqual(["accepted", "chunk", "end"]);
  expect(records[1]).toEqual({ type: "chunk", offset: 0, text });
}

/** Parses the records of a streamed answer. */
export function readRecords(text: string): readonly AnswerRecord[] {
  return text.trimEnd().split("\n").map((line) =>
    JSON.parse(line) as AnswerRecord
  );
}
