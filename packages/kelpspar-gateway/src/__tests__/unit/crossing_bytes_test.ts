import type { PieceTask } from "../../pieces/piece_task.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ChainRun } from "../../pieces/chain_run.ts";
import { crossingBytes } from "../../pieces/crossing_bytes.ts";

function chain(): ChainRun {
  return new ChainRun({
    request: {
      attemptId: "a",
      pieceKey: "k",
      stages: [
        { service: "retrieve", after: [], resultBytes: 60_000, pieces: 2 },
        { service: "rerank", after: [0], resultBytes: 6_000, pieces: 10 },
      ],
      remainingMilliseconds: 5_000,
      objectiveMilliseconds: 2_000,
      kind: "model",
      tailMilliseconds: 100,
      priority: 0,
    },
    now: 0,
    settle: () => {},
  });
}

function start(run: ChainRun): readonly PieceTask[] {
  return run.startReady();
}

test("the first piece of a stage without inputs may be made anywhere", () => {
  const [first] = start(chain());
  expect(crossingBytes(first as PieceTask, "a")).toEqual(0);
});

test("a result in another zone than its stage's others crosses once per reader", () => {
  // Guards against counting a result once regardless of its readers: a stage's
  // pieces are made in two zones, each of ten pieces of the next stage reads all
  // of them, and results of 60 kB cause 0.44 of 0.63 GB of cross-zone traffic.
  const run = chain();
  const [first, second] = start(run);
  run.recordSend(first as PieceTask, "a");
  expect(crossingBytes(second as PieceTask, "a")).toEqual(0);
  expect(crossingBytes(second as PieceTask, "b")).toEqual(600_000);
});

test("large final results are best made where the prompt is cached", () => {
  // Guards against considering the prompt's zone only after the results are
  // made: they are made wherever an endpoint is free, so they or the prompt move
  // to the other's zone. Prompts of 13,300 tokens leave their endpoint and are
  // read again, and their requests are late.
  const run = new ChainRun({
    request: {
      attemptId: "a",
      pieceKey: "k",
      stages: [
        { service: "encode", after: [], resultBytes: 3_000_000, pieces: 2 },
      ],
      remainingMilliseconds: 5_000,
      objectiveMilliseconds: 2_000,
      kind: "model",
      tailMilliseconds: 100,
      priority: 0,
    },
    now: 0,
    readerZone: "a",
    settle: () => {},
  });
  const [first, second] = start(run);
  expect(crossingBytes(first as PieceTask, "a")).toEqual(0);
  expect(crossingBytes(first as PieceTask, "b")).toEqual(3_000_000);
  run.recordSend(first as PieceTask, "b");
  expect(crossingBytes(second as PieceTask, "b")).toEqual(0);
});

test("inputs in other zones cross", () => {
  const run = chain();
  for (const [index, task] of start(run).entries()) {
    run.recordResult(task, {
      handle: `h${index}`,
      makerId: "m",
      makerAddress: "m",
      makerZone: "a",
    });
  }
  const [reader] = start(run);
  expect(crossingBytes(reader as PieceTask, "a")).toEqual(0);
  expect(crossingBytes(reader as PieceTask, "b")).toEqual(120_000);
});
