import type { StageCall } from "kelpspar-shared";
import type { RunningProcess } from "../../process/running_process.ts";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";
import { HttpEndpointClient } from "kelpspar-backends";
import { KelpsparError, SystemTimer } from "kelpspar-shared";
import { plainAnswer } from "../../endpoint/plain/plain_answer.ts";
import { ProcessGroup } from "../../process/process_group.ts";

const PROGRAM = fileURLToPath(
  new URL("../../programs/endpoint_main.ts", import.meta.url),
);
const INPUT = "book token=abc";

test("a stopped endpoint process finishes its calls, a killed one does not", async () => {
  const timer = new SystemTimer();
  const group = new ProcessGroup({ timer });
  const client = new HttpEndpointClient({ timer });
  try {
    const [stopped, killed] = await Promise.all([
      startPlain(group),
      startPlain(group),
    ]);
    const whole = callBook(client, stopped);
    const cut = callBook(client, killed);
    await Promise.all([executionOf(stopped), executionOf(killed)]);
    const exits = await Promise.all([stopped.stop(), killed.kill()]);
    expect(exits).toEqual([
      { code: 0, signal: null },
      { code: null, signal: "SIGKILL" },
    ]);
    expect(await whole).toEqual(plainAnswer("book", INPUT));
    expect(await cut).toEqual("endpoint_failed");
    expect(await group.stopAll()).toEqual([]);
  } finally {
    await client.close();
    await group.stopAll();
  }
});

test("start fails with the output of a program that exits before it listens", async () => {
  const group = new ProcessGroup({ timer: new SystemTimer() });
  const starting = start(group, { kind: "neither" });
  await expect(starting).toBeRejectedWith(Error, /Invalid/);
  await group.stopAll();
});

function start(
  group: ProcessGroup,
  settings: unknown,
): Promise<RunningProcess> {
  const nodeArguments = ["--conditions=source", "--import", "tsx"];
  return group.start({ program: PROGRAM, settings, nodeArguments });
}

function startPlain(group: ProcessGroup): Promise<RunningProcess> {
  return start(group, {
    kind: "plain",
    service: "book",
    printExecutions: true,
    plain: { serviceMilliseconds: 300 },
  });
}

function executionOf(running: RunningProcess): Promise<void> {
  return new Promise((resolve) => {
    const stop = running.registerLine((line) => {
      if (!line.startsWith('{"execution"')) return;
      stop();
      resolve();
    });
  });
}

async function callBook(
  client: HttpEndpointClient,
  running: RunningProcess,
): Promise<string> {
  const call: StageCall = {
    requestId: "r1",
    stageId: "s1",
    attemptId: "a1",
    accountId: "large",
    priority: 0,
    remainingMilliseconds: 3_000,
    input: INPUT,
  };
  const endpoint = {
    endpointId: "e1",
    incarnation: "v1",
    address: "127.0.0.1",
    port: Number(running.listening["port"]),
    availabilityZone: "z1",
    service: "book",
    checksFencing: false,
  };
  const { signal } = new AbortController();
  let text = "";
  try {
    for await (
      const record of client.call(endpoint, call, {
        signal,
        newConnection: true,
      })
    ) {
      if (record.type === "chunk") text += record.text;
    }
    return text;
  } catch (error) {
    return error instanceof KelpsparError ? error.result : String(error);
  }
}
