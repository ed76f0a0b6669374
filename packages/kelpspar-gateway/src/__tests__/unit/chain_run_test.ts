import type { ChainOutcome, PieceResult } from "../../pieces/chain_outcome.ts";
import type { PieceTask } from "../../pieces/piece_task.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ChainRun } from "../../pieces/chain_run.ts";

function createChain(pieces: readonly number[] = [1, 2, 2]): ChainRun {
  return new ChainRun({
    request: {
      attemptId: "a1",
      pieceKey: "key",
      stages: pieces.map((count, number) => ({
        service: `s${number}`,
        after: number === 0 ? [] : [number - 1],
        resultBytes: 100,
        pieces: count,
      })),
      remainingMilliseconds: 10_000,
      objectiveMilliseconds: 2_000,
      kind: "model",
      tailMilliseconds: 300,
      priority: 0,
    },
    now: 0,
    settle: (_: ChainOutcome) => {},
  });
}

function make(
  chain: ChainRun,
  tasks: readonly PieceTask[],
  maker = "m1",
): readonly PieceResult[] {
  return tasks.map((task) => {
    const result = {
      handle: `${maker}/${task.stage}.${task.piece}`,
      makerId: maker,
      makerAddress: "10.0.0.1:1",
      makerZone: "a",
    };
    chain.put(task, result);
    return result;
  });
}

function numbers(tasks: readonly PieceTask[]): readonly string[] {
  return tasks.map((task) => `${task.stage}.${task.piece}`);
}

test("a stage starts once all it reads is made, and only once", () => {
  const chain = createChain();
  const first = chain.startReady();
  expect(numbers(first)).toEqual(["0.0"]);
  expect(chain.startReady()).toEqual([]);
  make(chain, first);
  expect(numbers(chain.startReady())).toEqual(["1.0", "1.1"]);
});

test("a stage that the request leaves out holds nothing up", () => {
  const chain = createChain([0, 2, 0]);
  expect(numbers(chain.startReady())).toEqual(["1.0", "1.1"]);
  expect(chain.inputResults(1)).toEqual([]);
  expect(chain.isFinal(1)).toEqual(true);
});

test("a large result that the request reads is made beside the last stage", () => {
  // Symptom: requests were answered that inputs were gone, five seconds after
  // their arrival, and ran all their stages again.
  // Sequence: a result of three megabytes was made first; the three stages
  // beside it waited for room, which such results took, until it expired.
  // Cause: every stage started as early as it could.
  const chain = new ChainRun({
    request: {
      ...createChain().request,
      stages: [
        { service: "s0", after: [], resultBytes: 3_000_000, pieces: 1 },
        { service: "s1", after: [], resultBytes: 100, pieces: 1 },
        { service: "s2", after: [1], resultBytes: 100, pieces: 1 },
      ],
    },
    now: 0,
    settle: () => {},
  });
  const first = chain.startReady();
  expect(numbers(first)).toEqual(["1.0"]);
  make(chain, first);
  expect(numbers(chain.startReady())).toEqual(["0.0", "2.0"]);
});

test("a large result alone is made at once", () => {
  const chain = new ChainRun({
    request: {
      ...createChain().request,
      stages: [
        { service: "s0", after: [], resultBytes: 3_000_000, pieces: 2 },
        { service: "s1", after: [], resultBytes: 100, pieces: 0 },
      ],
    },
    now: 0,
    settle: () => {},
  });
  expect(numbers(chain.startReady())).toEqual(["0.0", "0.1"]);
});

test("results are freed once when no stage reads them any more", () => {
  const chain = createChain();
  const zero = make(chain, chain.startReady());
  expect(chain.takeUnneeded()).toEqual([]);
  make(chain, chain.startReady());
  expect(chain.takeUnneeded()).toEqual(zero);
  expect(chain.takeUnneeded()).toEqual([]);
});

test("results of a maker that is gone are made again", () => {
  const chain = createChain();
  make(chain, chain.startReady());
  const [one, two] = chain.startReady() as [PieceTask, PieceTask];
  make(chain, [one], "m2");
  make(chain, [two], "m3");
  expect(chain.hasInputs(2)).toEqual(true);
  chain.startReady();
  expect(numbers(chain.forgetMaker("m2"))).toEqual(["1.0"]);
  expect(chain.hasInputs(2)).toEqual(false);
});

test("inputs that were freed are made again from the start", () => {
  // Symptom: a chain hung until its deadline after a maker crashed.
  // Sequence: stage 1 was done and stage 0's result freed; stage 1's maker
  // crashed; its pieces asked for stage 0's handle, which was gone, again and
  // again.
  // Cause: only the lost results were forgotten, not the freed ones below.
  const chain = createChain();
  make(chain, chain.startReady());
  make(chain, chain.startReady(), "m2");
  chain.takeUnneeded();
  expect(numbers(chain.forgetMaker("m2"))).toEqual(["0.0"]);
  expect(chain.hasInputs(1)).toEqual(false);
});

test("a piece made twice keeps its first result", () => {
  const chain = createChain();
  const [task] = chain.startReady() as [PieceTask];
  make(chain, [task], "m1");
  make(chain, [task], "m2");
  expect(chain.resultsOf(0).map((one) => one.makerId)).toEqual(["m1"]);
});
