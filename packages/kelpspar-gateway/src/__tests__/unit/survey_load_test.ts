import type { LoadFigures, StageLoad } from "../support/play_stage_load.ts";
import { expect } from "earl";
import { test } from "node:test";
import { playStageLoad } from "../support/play_stage_load.ts";
import { SURVEY_KINDS, SURVEY_SERVICES } from "../support/survey_load.ts";

const SEEDS = [1, 2, 3, 4];
const BURST = { from: 5_000, until: 9_000 };

/** Means over some seeds: requests come in clumps of three, by chance. */
interface MeanFigures {
  readonly worth: number;
  readonly onTime: Readonly<Record<string, number>>;
}

async function play(load: Partial<StageLoad>): Promise<MeanFigures> {
  const played: LoadFigures[] = [];
  for (const seed of SEEDS) {
    played.push(
      await playStageLoad({
        seed,
        milliseconds: 16_000,
        services: SURVEY_SERVICES,
        kinds: SURVEY_KINDS,
        clump: 3,
        bursts: [],
        ...load,
      }),
    );
  }
  const mean = (of: (one: LoadFigures) => number): number =>
    played.reduce((sum, one) => sum + of(one), 0) / played.length;
  const onTime = SURVEY_KINDS.map(({ name }): [string, number] => [
    name,
    mean(({ kinds }) => {
      const kind = kinds[name];
      return kind === undefined ? 0 : kind.onTime / kind.asked;
    }),
  ]);
  return {
    worth: mean(({ worth }) => worth),
    onTime: Object.fromEntries(onTime),
  };
}

test("a calm load of clumps is on time", async () => {
  expect((await play({})).worth > 0.98).toEqual(true);
});

test("in a burst of 2.5 of all kinds the urgent one is on time", async () => {
  // Symptom: a sixth of the urgent requests were refused while those that may
  // wait twice as long were on time.
  // Sequence: all kinds came 2.5 times as often for four seconds; the urgent
  // ones were judged by a queue that was full of the others.
  // Cause: all that was admitted counted as if it went before them.
  const { worth, onTime } = await play({ bursts: [{ ...BURST, factor: 2.5 }] });
  expect((onTime["assess"] ?? 0) > 0.9).toEqual(true);
  expect((onTime["summary"] ?? 0) > 0.9).toEqual(true);
  expect(worth > 0.9).toEqual(true);
});

test("a silent endpoint in a burst costs the kind that may wait longest", async () => {
  const { onTime } = await play({
    bursts: [{ ...BURST, factor: 1.7 }],
    faults: [{
      endpointId: "encode-0",
      ...BURST,
      slowness: Number.POSITIVE_INFINITY,
    }],
  });
  expect((onTime["assess"] ?? 0) > 0.78).toEqual(true);
  expect((onTime["summary"] ?? 0) > 0.9).toEqual(true);
});
