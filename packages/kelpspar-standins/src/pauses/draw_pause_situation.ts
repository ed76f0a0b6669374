import type { RandomSource } from "kelpspar-shared";
import type { PauseSituation } from "./pause_situation.ts";
import { pickRandom } from "../soak/pick_random.ts";
import { CALM } from "./pause_situation.ts";

const STAGED_SHARE = 0.75;
const DAEMONS = [4, 4, 4, 6, 10];
const REQUESTS_PER_SECOND = [2.5, 5, 7.7];

/** Draws a situation whose steps are drawn. */
export function drawPauseSituation(random: RandomSource): PauseSituation {
  return {
    ...CALM,
    daemons: pickRandom(DAEMONS, random),
    perSecond: pickRandom(REQUESTS_PER_SECOND, random),
    hasStages: random.next() < STAGED_SHARE,
    hasDrawnSteps: true,
  };
}
