import type { ListedVm } from "kelpspar-backends";
import type { AnswerRecord, FailureRecord, ResultName } from "kelpspar-shared";
import type { Daemon } from "../../daemon.ts";
import type { TestPorts } from "./test_ports.ts";
import type { WholeAnswer } from "./http_exchange.ts";
import { expect } from "earl";
import { RESULT_CODES, SystemTimer } from "kelpspar-shared";
import { startDaemon } from "../../daemon.ts";
import { ownAnswer } from "./fake_endpoints.ts";
import { exchange } from "./http_exchange.ts";
import { createTestPorts } from "./test_ports.ts";
import { createRow, createSettings, ENDPOINT_VMS, KEYS } from "./test_site.ts";

/** A whole daemon on a free port, with fakes on its other sides. */
export interface TestDaemon {
  readonly daemon: Daemon;
  readonly port: number;
  readonly ports: TestPorts;
}

const MOST_TURNS = 20_000;
/** A test that fails leaves work behind, which must not hold the next up. */
const LONGEST_STOP_MILLISECONDS = 5_000;

/** Starts a daemon; resolves when it serves. */
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
      drainLimitMilliseconds: LONGEST_STOP_MILLISECONDS,
      ...(limits as object),
    },
  });
  const daemon = await startDaemon(settings, ports);
  const { port } = daemon;
  const endpoints = vms.filter((vm) => vm.kind === "endpoint").length;
  await until(async () => {
    const path = "/v1/operator/endpoints";
    const answer = await exchange({ port, path, key: KEYS.viewer });
    if (answer.status !== 200) return false;
    const listed = JSON.parse(answer.text) as { endpoints: unknown[] };
    return listed.endpoints.length === endpoints;
  });
  return { daemon, port, ports };
}

/** Asks again and again until `isSo`, on the event loop's own beat. */
export async function until(
  isSo: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let turn = 0; turn < MOST_TURNS; turn++) {
    if (await isSo()) return;
    await new Promise<void>((resolve) => setImmediate(resolve));
  }
  throw new Error(`Not so after ${MOST_TURNS} turns`);
}

/** Checks that an answer is a numbered failure, whole and consistent. */
export function expectFailure(
  answer: WholeAnswer,
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

/** Submits a good request and checks that its answer is whole. */
export async function expectServed(port: number): Promise<void> {
  const answer = await exchange({
    port,
    path: "/v1/requests",
    key: KEYS.small,
    body: { pipeline: "echo", input: "lime", deadlineMilliseconds: 60_000 },
  });
  expect(answer.status).toEqual(200);
  const records = readRecords(answer.text);
  const text = ownAnswer("encode", "lime");
  expect(records.map((record) => record.type))
    .toEqual(["accepted", "chunk", "end"]);
  expect(records[1]).toEqual({ type: "chunk", offset: 0, text });
}

/** The records of an answer's stream. */
export function readRecords(text: string): readonly AnswerRecord[] {
  return text.trimEnd().split("\n").map((line) =>
    JSON.parse(line) as AnswerRecord
  );
}
