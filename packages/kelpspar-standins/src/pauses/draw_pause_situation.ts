import type { PauseSituation } from "./pause_situation.ts";
import { SeededRandom } from "kelpspar-shared";
import { pickRandom } from "../soak/pick_random.ts";
import { CALM } from "./pause_situation.ts";

const STAGED_SHARE = 0.75;
const DAEMONS = [4, 4, 4, 6, 10];
const REQUESTS_PER_SECOND = [2.5, 5, 7.7];

/** The first numbers of successive small seeds are nearly the same. */
const SEED_FACTOR = 0x9e3779b1;

/** Draws a situation whose steps are drawn. */
export function drawPauseSituation(seed: number): PauseSituation {
  const random = new SeededRandom(Math.imul(seed, SEED_FACTOR));
  return {
    ...CALM,
    daemons: pickRandom(DAEMONS, random),
    perSecond: pickRandom(REQUESTS_PER_SECOND, random),
    hasStages: random.next() < STAGED_SHARE,
    hasDrawnSteps: true,
  };
}
