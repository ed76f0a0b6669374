import type { ServerResponse } from "node:http";
import { expect } from "earl";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { ManualTimer } from "kelpspar-shared";
import { streamAnswer } from "../../front/stream_answer.ts";
import { AnswerLog } from "../../requests/answer_log.ts";
import { readRecords } from "../support/test_daemon.ts";

const LONG_MILLISECONDS = 600_000;

/** A response under backpressure after each write; the test drains it. */
class FakeResponse extends EventEmitter {
  readonly written: string[] = [];
  writableEnded = false;
  destroyed = false;

  writeHead(): void {}

  write(text: string): boolean {
    this.written.push(text);
    return false;
  }

  end(text: string): void {
    this.written.push(text);
    this.writableEnded = true;
  }

  destroy(): void {
    if (this.destroyed) return;
    this.destroyed = true;
    this.emit("close");
  }

  drain(): void {
    this.emit("drain");
  }
}

function startStream(offset = 0): {
  readonly log: AnswerLog;
  readonly response: FakeResponse;
  readonly timer: ManualTimer;
} {
  const log = new AnswerLog();
  const response = new FakeResponse();
  const timer = new ManualTimer();
  log.append("spread ");
  streamAnswer(log, response as unknown as ServerResponse, {
    accepted: { type: "accepted", requestId: "r", daemon: "d" },
    offset,
    timer,
  });
  return { log, response, timer };
}

test("a slow reader gets all pending chunks in one write after a drain", () => {
  // Failure: a daemon's memory grows with each slow caller, because chunks are
  // written to a socket whose buffer is full.
  const { log, response } = startStream(4);
  for (const text of ["lime ", "at ", "dawn"]) log.append(text);
  log.finish({
    type: "failure",
    code: 3001,
    result: "deadline_exceeded",
    outcome: "outcome_unknown",
    retry: "never",
    message: "Late",
  });
  expect(response.written.length).toEqual(1);
  response.drain();
  expect([response.written.length, response.writableEnded])
    .toEqual([2, true]);
  const records = readRecords(response.written.join(""));
  expect(records.map(({ type }) => type)).toEqual(
    ["accepted", "chunk", "chunk", "chunk", "chunk", "failure"],
  );
  const chunks = records.flatMap((record) =>
    record.type === "chunk" ? [record] : []
  );
  expect(chunks.map(({ text }) => text).join("")).toEqual("ad lime at dawn");
  expect(chunks[0]?.offset).toEqual(4);
});

test("a stalled reader is disconnected and its listener removed", async () => {
  const stalled = startStream();
  await stalled.timer.advance(LONG_MILLISECONDS);
  expect([stalled.response.destroyed, stalled.log.readers]).toEqual([true, 0]);
  const active = startStream();
  active.response.drain();
  await active.timer.advance(LONG_MILLISECONDS);
  expect([active.response.destroyed, active.log.readers]).toEqual([false, 1]);
});

test("a reader that stalls on the last write is disconnected too", async () => {
  // Failure: connections and complete answers stay in memory forever, because
  // the stall timeout does not cover the last write.
  const { log, response, timer } = startStream();
  response.drain();
  log.finish({
    type: "end",
    requestId: "r",
    length: log.length,
    checksum: log.checksum,
    cost: [],
    elapsedMilliseconds: 0,
  });
  expect(response.writableEnded).toEqual(true);
  await timer.advance(LONG_MILLISECONDS);
  expect(response.destroyed).toEqual(true);
});
