import type { PieceTask } from "../../pieces/piece_task.ts";
import { expect } from "earl";
import { test } from "node:test";
import { ChainRun } from "../../pieces/chain_run.ts";
import { fillCall } from "../../pieces/fill_call.ts";
import { startablePieces } from "../../pieces/startable_pieces.ts";

function pieces(
  attemptId: string,
  count: number,
  resultBytes = 100,
): readonly PieceTask[] {
  const chain = new ChainRun({
    request: {
      attemptId,
      pieceKey: "k",
      stages: [{ service: "s", after: [], resultBytes, pieces: count }],
      remainingMilliseconds: 10_000,
      objectiveMilliseconds: 1_000,
      kind: "model",
      tailMilliseconds: 100,
      priority: 0,
    },
    now: 0,
    settle: () => {},
  });
  return chain.startReady();
}

function names(tasks: readonly PieceTask[]): readonly string[] {
  return tasks.map(({ chain, piece }) => `${chain.request.attemptId}.${piece}`);
}

test("a stage begins only with room for all its pieces besides begun stages", () => {
  // Guards against a deadlock over room when pieces start one by one: the made
  // pieces of three requests fill the room, and each waits for room for its last
  // piece until the results expire after four seconds.
  const begun = pieces("a", 3);
  begun[0]?.chain.recordSend(begun[0] as PieceTask, "a");
  const rest = begun.slice(1);
  const other = pieces("b", 3);
  expect(names(startablePieces([...rest, ...other], 400)))
    .toEqual(["a.1", "a.2"]);
  expect(names(startablePieces([...rest, ...other], 500)))
    .toEqual(["a.1", "a.2", "b.0", "b.1", "b.2"]);
});

test("a stage larger than the total room starts when no other holds any", () => {
  expect(names(startablePieces(pieces("a", 9), 400)).length).toEqual(9);
});

test("a call skips pieces whose results don't fit the room", () => {
  const queue = [...pieces("a", 1, 300), ...pieces("b", 3, 100)];
  const filled = fillCall(queue, { batch: 2, room: 250, isEmpty: false });
  expect(names(filled)).toEqual(["b.0", "b.1"]);
});

test("a piece whose result exceeds the room is sent alone to an empty endpoint", () => {
  const queue = [...pieces("a", 2, 900), ...pieces("b", 1, 100)];
  const filled = fillCall(queue, { batch: 6, room: 500, isEmpty: true });
  expect(names(filled)).toEqual(["a.0"]);
});
