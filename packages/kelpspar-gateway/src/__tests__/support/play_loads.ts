import type { LoadFigures, StageLoad } from "./play_stage_load.ts";
import { BOOKING_KINDS, BOOKING_SERVICES } from "./booking_load.ts";
import { playStageLoad } from "./play_stage_load.ts";
import { SURVEY_KINDS, SURVEY_SERVICES } from "./survey_load.ts";

const SEEDS = 6;
const LENGTH_MILLISECONDS = 16_000;
const BURST = { from: 5_000, until: 10_000 };

/** Bursts and faults played with each site's load. */
const SITUATIONS: Readonly<Record<string, Partial<StageLoad>>> = {
  calm: {},
  "burst of all, 1.7": { bursts: [{ ...BURST, factor: 1.7 }] },
  "burst of all, 2.5": { bursts: [{ ...BURST, factor: 2.5 }] },
  "burst with an endpoint silent": {
    bursts: [{ ...BURST, factor: 1.7 }],
    faults: [{
      endpointId: "encode-0",
      ...BURST,
      slowness: Number.POSITIVE_INFINITY,
    }],
  },
  "burst with an endpoint slow": {
    bursts: [{ ...BURST, factor: 1.4 }],
    faults: [{ endpointId: "retrieve-0", ...BURST, slowness: 5 }],
  },
  "room filled by others": {
    roomLagMilliseconds: 100,
    foreignResults: { from: 4_000, until: 8_000, share: 0.9 },
  },
};

const SITES = {
  survey: { services: SURVEY_SERVICES, kinds: SURVEY_KINDS },
  booking: { services: BOOKING_SERVICES, kinds: BOOKING_KINDS },
};

/** Worth of a site's load in a situation, with its 95% confidence interval. */
export interface LoadResult {
  readonly site: string;
  readonly situation: string;
  readonly worth: number;
  readonly interval: number;
  readonly turnedAway: number;
}

async function playAll(): Promise<readonly LoadResult[]> {
  const results: LoadResult[] = [];
  for (const [site, load] of Object.entries(SITES)) {
    for (const [situation, conditions] of Object.entries(SITUATIONS)) {
      const played: LoadFigures[] = [];
      for (let seed = 1; seed <= SEEDS; seed++) {
        played.push(
          await playStageLoad({
            seed,
            milliseconds: LENGTH_MILLISECONDS,
            groupSize: 3,
            bursts: [],
            ...load,
            ...conditions,
          }),
        );
      }
      results.push({ site, situation, ...summarize(played) });
    }
  }
  return results;
}

function summarize(
  played: readonly LoadFigures[],
): Pick<LoadResult, "worth" | "interval" | "turnedAway"> {
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const worths = played.map(({ worth }) => worth);
  const worth = mean(worths);
  const variance = mean(worths.map((value) => (value - worth) ** 2));
  return {
    worth,
    interval: 1.96 * Math.sqrt(variance / (played.length - 1)),
    turnedAway: mean(played.map(({ stages }) => stages.turnedAway)),
  };
}

void playAll().then((results) => {
  process.stdout.write(`${JSON.stringify(results)}\n`);
});
