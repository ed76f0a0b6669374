import { expect } from "earl";
import { test } from "node:test";
import { findRepeatedStages } from "../../pieces/find_repeated_stages.ts";

const STAGE = { service: "s", resultBytes: 1, pieces: 2 };
const CHAIN = {
  attemptId: "a",
  kind: "k",
  pieceKey: "p",
  stages: [
    { ...STAGE, after: [] },
    { ...STAGE, after: [0] },
    { ...STAGE, after: [1] },
  ],
  remainingMilliseconds: 1_000,
  objectiveMilliseconds: 1_000,
  tailMilliseconds: 0,
  priority: 0,
};

function find(earlierRunMilliseconds: number | undefined): readonly number[] {
  return [...findRepeatedStages(
    { ...CHAIN, earlierRunMilliseconds },
    () => 150,
  )];
}

// Guards against pieces that another coordinator has sent and that don't count.
test("stages that an earlier run may have begun are repeats", () => {
  expect(find(undefined)).toEqual([]);
  expect(find(0)).toEqual([0]);
  expect(find(100)).toEqual([0, 1]);
  expect(find(1_000)).toEqual([0, 1, 2]);
});
