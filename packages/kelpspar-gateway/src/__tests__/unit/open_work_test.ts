import type { ChainRequest } from "../../pieces/chain_request.ts";
import type { PieceTask } from "../../pieces/piece_task.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ChainRun } from "../../pieces/chain_run.ts";
import { OpenWork } from "../../pieces/open_work.ts";

const REQUEST: ChainRequest = {
  attemptId: "a1",
  kind: "",
  pieceKey: "k",
  stages: [
    { service: "encode", after: [], resultBytes: 1, pieces: 3 },
    { service: "encode", after: [0], resultBytes: 1, pieces: 2 },
    { service: "rerank", after: [1], resultBytes: 1, pieces: 4 },
  ],
  remainingMilliseconds: 9_000,
  objectiveMilliseconds: 9_000,
  tailMilliseconds: 0,
  priority: 1,
};

function start(work: OpenWork, priority: number): ChainRun {
  const request = { ...REQUEST, priority };
  return new ChainRun({ request, now: 0, work, settle: () => {} });
}

function make(chain: ChainRun, tasks: readonly PieceTask[], by: string): void {
  for (const task of tasks) {
    chain.recordResult(task, {
      handle: `${task.stage}/${task.piece}`,
      makerId: by,
      makerAddress: "",
      makerZone: "",
    });
  }
}

function pieces(work: OpenWork, service: string): number {
  return work.sum(service, () => 1);
}

// Guards against a backlog that grows or shrinks for good with lost results or closed chains.
test("open work follows pieces that are made, lost and given up", () => {
  const work = new OpenWork();
  const first = start(work, 1);
  const second = start(work, 2);
  expect([pieces(work, "encode"), pieces(work, "rerank")]).toEqual([10, 8]);
  expect(work.sum("encode", (priority) => priority === 1 ? 1 : 0)).toEqual(5);
  make(first, first.startReady(), "e1");
  expect(pieces(work, "encode")).toEqual(7);
  first.invalidateMaker("e1");
  expect(pieces(work, "encode")).toEqual(10);
  first.settle({ type: "done", results: [] });
  first.invalidateMaker("e1");
  expect([pieces(work, "encode"), pieces(work, "rerank")]).toEqual([5, 4]);
  second.settle({ type: "done", results: [] });
  expect([pieces(work, "encode"), pieces(work, "rerank")]).toEqual([0, 0]);
});
