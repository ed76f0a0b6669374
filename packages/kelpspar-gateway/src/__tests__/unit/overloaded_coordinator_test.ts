import type { LoadFigures } from "../support/play_stage_load.ts";
import { expect } from "earl";
import { test } from "node:test";
import {
  CONTENDED_KINDS,
  CONTENDED_SERVICES,
  CONTENDED_WAVES,
} from "../support/contended_load.ts";
import { playStageLoad } from "../support/play_stage_load.ts";

const SEEDS = [1, 2, 3];
const COST = { chain: 4, refusal: 1 };

function play(seed: number): Promise<LoadFigures> {
  return playStageLoad({
    seed,
    milliseconds: 13_000,
    // Endpoints have twice the capacity that the load needs.
    services: CONTENDED_SERVICES.map((service) => ({
      ...service,
      zones: [...service.zones, ...service.zones],
    })),
    kinds: CONTENDED_KINDS,
    bursts: CONTENDED_WAVES,
    processorCost: COST,
  });
}

/** Share of the load that the processor can run if it refuses the rest once. */
function capacityShare(): number {
  const perSecond = CONTENDED_KINDS.reduce(
    (sum, kind) => sum + kind.perSecond,
    0,
  );
  let asked = 0;
  let run = 0;
  for (const { factor } of CONTENDED_WAVES) {
    const arrivals = perSecond * factor / 2;
    const most = (500 - arrivals * COST.refusal) / (COST.chain - COST.refusal);
    asked += arrivals;
    run += Math.min(arrivals, most);
  }
  return run / asked;
}

// Guards against a coordinator without processor time that admits chains which
// have waited for it beyond their objective.
test("a coordinator that is short of processor time serves what it can", async () => {
  for (const seed of SEEDS) {
    const { kinds } = await play(seed);
    const all = Object.values(kinds);
    const asked = all.reduce((sum, kind) => sum + kind.asked, 0);
    const onTime = all.reduce((sum, kind) => sum + kind.onTime, 0);
    expect(onTime / asked > 0.8 * capacityShare()).toEqual(true);
  }
});
