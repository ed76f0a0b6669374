import type { LogFields } from "../../log/gateway_log.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ManualTimer } from "kelpspar-shared";
import { ProcessMonitor } from "../../load/process_monitor.ts";

interface MonitoredProcess {
  readonly timer: ManualTimer;
  readonly lines: (LogFields | undefined)[];
  readonly states: Map<string, number>;
  processorMilliseconds: number;
  acceptedConnections: number;
}

function monitor(): MonitoredProcess {
  const timer = new ManualTimer();
  const process: MonitoredProcess = {
    timer,
    lines: [],
    states: new Map(),
    processorMilliseconds: 0,
    acceptedConnections: 0,
  };
  new ProcessMonitor({
    timer,
    log: {
      info: (_, fields) => process.lines.push(fields),
      warn: () => {},
    },
    metrics: { setState: (what, value) => process.states.set(what, value) },
    cores: 0.5,
    processorMilliseconds: () => process.processorMilliseconds,
    acceptedConnections: () => process.acceptedConnections,
  }).register();
  return process;
}

test("a process that uses up its processor is reported", async () => {
  const process = monitor();
  await process.timer.advance(500);
  process.processorMilliseconds = 490;
  process.acceptedConnections = 7;
  await process.timer.advance(500);
  expect(process.lines).toEqual([
    { processorShare: 0.98, loopDelayMilliseconds: 0, newConnections: 7 },
  ]);
  expect(process.states.get("processor_share")).toEqual(0.98);
});

test("a delayed event loop is reported", async () => {
  const process = monitor();
  await process.timer.advance(250);
  process.timer.jump(430);
  await process.timer.advance(1_000);
  expect(process.lines[0]?.["loopDelayMilliseconds"]).toEqual(180);
});

test("an idle process writes no lines", async () => {
  const process = monitor();
  await process.timer.advance(10_000);
  expect(process.lines).toEqual([]);
});
