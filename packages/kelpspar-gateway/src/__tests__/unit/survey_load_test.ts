import type { LoadFigures, StageLoad } from "../support/play_stage_load.ts";
import { expect } from "earl";
import { test } from "node:test";
import { playStageLoad } from "../support/play_stage_load.ts";
import { SURVEY_KINDS, SURVEY_SERVICES } from "../support/survey_load.ts";

const SEEDS = [1, 2, 3, 4];
const BURST = { from: 5_000, until: 9_000 };

/** Means over all seeds; requests arrive in random groups of three. */
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
        groupSize: 3,
        bursts: [],
        ...load,
      }),
    );
  }
  const mean = (of: (figures: LoadFigures) => number): number =>
    played.reduce((sum, figures) => sum + of(figures), 0) / played.length;
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

test("a normal load of grouped requests is on time", async () => {
  expect((await play({})).worth > 0.98).toEqual(true);
});

test("in a burst of 2.5 times all kinds the urgent one is on time", async () => {
  // Guards against counting all admitted work as if it went before urgent
  // requests: when all kinds arrive 2.5 times as often for four seconds, a sixth
  // of the urgent requests are refused because of a queue full of other kinds,
  // while those that may wait twice as long are on time.
  const { worth, onTime } = await play({ bursts: [{ ...BURST, factor: 2.5 }] });
  expect((onTime["assess"] ?? 0) > 0.9).toEqual(true);
  expect((onTime["summary"] ?? 0) > 0.9).toEqual(true);
  expect(worth > 0.9).toEqual(true);
});

test("a silent endpoint in a burst delays the kind that may wait longest", async () => {
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
