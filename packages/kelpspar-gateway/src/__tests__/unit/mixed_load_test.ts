import type { KindFigures, StageLoad } from "../support/play_stage_load.ts";
import { expect } from "earl";
import { test } from "node:test";
import { MIXED_KINDS, MIXED_SERVICES } from "../support/mixed_load.ts";
import { playStageLoad } from "../support/play_stage_load.ts";

const BURST = { from: 4_000, until: 9_500 };

/** On-time shares by kind, averaged over two seeds. */
async function play(load: Partial<StageLoad>): Promise<Record<string, number>> {
  const onTime: Record<string, number> = {};
  for (const seed of [1, 2]) {
    const { kinds } = await playStageLoad({
      seed,
      milliseconds: 13_000,
      services: MIXED_SERVICES,
      kinds: MIXED_KINDS,
      groupSize: 3,
      bursts: [],
      ...load,
    });
    for (const [name, kind] of Object.entries(kinds)) {
      onTime[name] = (onTime[name] ?? 0) + shareOf(kind) / 2;
    }
  }
  return onTime;
}

function shareOf({ onTime, asked }: KindFigures): number {
  return onTime / asked;
}

// Guards against a burst of one kind that delays the urgent one.
test("a burst of the urgent kind beside slow endpoints is on time", async () => {
  const faults = [0, 1, 2].map((index) => ({
    endpointId: `retrieve-${index}`,
    from: 6_000,
    until: 11_500,
    slowness: 4,
  }));
  const onTime = await play({
    bursts: [{ ...BURST, factor: 2.2, kind: "review" }],
    faults,
  });
  expect((onTime["review"] ?? 0) > 0.9).toEqual(true);
  expect((onTime["plan"] ?? 0) > 0.9).toEqual(true);
  expect((onTime["chat"] ?? 0) > 0.41).toEqual(true);
});

// Guards against large results that fill the room while endpoints are silent.
test("a burst of large results beside silent endpoints is on time", async () => {
  const faults = [0, 1, 2].map((index) => ({
    endpointId: `encode-${index}`,
    from: 4_500,
    until: 10_000,
    slowness: Number.POSITIVE_INFINITY,
  }));
  const onTime = await play({
    bursts: [{ ...BURST, factor: 2.4, kind: "plan" }],
    faults,
  });
  expect((onTime["plan"] ?? 0) > 0.9).toEqual(true);
  expect((onTime["review"] ?? 0) > 0.9).toEqual(true);
  expect((onTime["chat"] ?? 0) > 0.41).toEqual(true);
});
