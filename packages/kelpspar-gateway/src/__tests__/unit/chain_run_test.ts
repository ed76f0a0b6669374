import type { ChainOutcome, PieceResult } from "../../pieces/chain_outcome.ts";
import type { PieceTask } from "../../pieces/piece_task.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ChainRun } from "../../pieces/chain_run.ts";

function createChain(
  pieces: readonly number[] = [1, 2, 2],
  repeatedStages: ReadonlySet<number> = new Set(),
): ChainRun {
  return new ChainRun({
    repeatedStages,
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
    chain.recordResult(task, result);
    return result;
  });
}

function numbers(tasks: readonly PieceTask[]): readonly string[] {
  return tasks.map((task) => `${task.stage}.${task.piece}`);
}

test("a stage starts once all its inputs are made, and only once", () => {
  const chain = createChain();
  const first = chain.startReady();
  expect(numbers(first)).toEqual(["0.0"]);
  expect(chain.startReady()).toEqual([]);
  make(chain, first);
  expect(numbers(chain.startReady())).toEqual(["1.0", "1.1"]);
});

test("a skipped stage doesn't block later stages", () => {
  const chain = createChain([0, 2, 0]);
  expect(numbers(chain.startReady())).toEqual(["1.0", "1.1"]);
  expect(chain.inputResults(1)).toEqual([]);
  expect(chain.isFinal(1)).toEqual(true);
});

test("a large final result is made at the same time as the last stage", () => {
  // Guards against starting every stage as early as possible: results of three
  // megabytes take the room that the request's three other stages wait for until
  // they expire. Five seconds after arrival the inputs are gone, and all stages
  // run again.
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

test("a large result without other stages is made at once", () => {
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

test("results are freed once, when no stage reads them any more", () => {
  const chain = createChain();
  const inputs = make(chain, chain.startReady());
  expect(chain.releaseUnneeded()).toEqual([]);
  make(chain, chain.startReady());
  expect(chain.releaseUnneeded()).toEqual(inputs);
  expect(chain.releaseUnneeded()).toEqual([]);
});

test("results of a removed maker are made again", () => {
  const chain = createChain();
  make(chain, chain.startReady());
  const [first, second] = chain.startReady() as [PieceTask, PieceTask];
  make(chain, [first], "m2");
  make(chain, [second], "m3");
  expect(chain.hasInputs(2)).toEqual(true);
  chain.startReady();
  expect(numbers(chain.invalidateMaker("m2"))).toEqual(["1.0"]);
  expect(chain.hasInputs(2)).toEqual(false);
});

test("freed inputs of lost results are made again", () => {
  // Guards against invalidating only the lost results and not their freed
  // inputs: after stage 1 is done and stage 0's result is freed, stage 1's maker
  // crashes; its pieces request stage 0's missing handle again and again, and
  // the chain hangs until its deadline.
  const chain = createChain();
  make(chain, chain.startReady());
  make(chain, chain.startReady(), "m2");
  chain.releaseUnneeded();
  expect(numbers(chain.invalidateMaker("m2"))).toEqual(["0.0"]);
  expect(chain.hasInputs(1)).toEqual(false);
});

test("a piece made twice keeps its first result", () => {
  const chain = createChain();
  const [task] = chain.startReady() as [PieceTask];
  make(chain, [task], "m1");
  make(chain, [task], "m2");
  expect(chain.resultsOf(0).map((result) => result.makerId)).toEqual(["m1"]);
});

// Guards against a request that earns retries at each daemon that runs it.
test("a chain counts once at a service, in all of its runs", () => {
  const chain = createChain();
  expect(["s0", "s0", "s1"].map((service) => chain.recordRequestAt(service)))
    .toEqual([true, false, true]);
  const again = createChain([1, 2, 2], new Set([0, 1]));
  expect(["s0", "s1", "s2"].map((service) => again.recordRequestAt(service)))
    .toEqual([false, false, true]);
});
