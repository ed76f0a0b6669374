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

test("a piece apart from the others of its stage crosses once a reader", () => {
  // Symptom: 0.44 of 0.63 GB between zones were results of 60 kB.
  // Sequence: the pieces of a request's stage were made in two zones; each of
  // ten pieces of the next stage read all of them.
  // Cause: a result counted once, whatever the number of its readers.
  const run = chain();
  const [first, second] = start(run);
  run.begin((first as PieceTask).stage, "a");
  expect(crossingBytes(second as PieceTask, "a")).toEqual(0);
  expect(crossingBytes(second as PieceTask, "b")).toEqual(600_000);
});

test("large final results are best made where the prompt is kept", () => {
  // Symptom: prompts of 13,300 tokens left their endpoint and were read again,
  // and the kind that has them was late.
  // Sequence: its results were made wherever an endpoint was free; they or the
  // prompt had to move to the other's zone.
  // Cause: where the prompt lies counted only once the results were made.
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
  run.begin((first as PieceTask).stage, "b");
  expect(crossingBytes(second as PieceTask, "b")).toEqual(0);
});

test("inputs that lie elsewhere cross", () => {
  const run = chain();
  for (const [index, task] of start(run).entries()) {
    run.put(task, {
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
