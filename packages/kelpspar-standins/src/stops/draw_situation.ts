import type { RandomSource } from "kelpspar-shared";
import type { ExtraSignal, StopSituation } from "./stop_situation.ts";
import { pickRandom } from "../soak/pick_random.ts";
import { DEFAULT_SITUATION } from "./stop_situation.ts";

const GRACE_SECONDS = [3, 4, 6, 8, 12];
const GAPS_MILLISECONDS = [0, 100, 400, 1_000, 2_000];
const ROUTES = ["stream", "stream", "resumed", "once", "often"] as const;
const MAXIMUM_DAEMONS = 8;
/** Shortest answer, milliseconds. */
const MINIMUM_ANSWER_MILLISECONDS = 50;
const MILLISECONDS_PER_SECOND = 1_000;

/** Draws a situation whose longest answers last up to the grace period. */
export function drawSituation(random: RandomSource): StopSituation {
  const graceSeconds = pickRandom(GRACE_SECONDS, random);
  const daemons = 2 + random.nextInteger(MAXIMUM_DAEMONS - 1);
  const longest = MINIMUM_ANSWER_MILLISECONDS +
    random.next() * graceSeconds * MILLISECONDS_PER_SECOND;
  const isVarying = random.next() < 1 / 3;
  const signals: ExtraSignal[] = [];
  if (random.next() < 1 / 3) {
    signals.push({
      signal: pickRandom(["SIGHUP", "SIGTERM"] as const, random),
      afterMilliseconds: random.next() * graceSeconds *
        MILLISECONDS_PER_SECOND / 2,
    });
  }
  return {
    ...DEFAULT_SITUATION,
    graceSeconds,
    daemons,
    stopped: random.next() < 2 / 3 ? daemons : 1 + random.nextInteger(daemons),
    gapMilliseconds: pickRandom(GAPS_MILLISECONDS, random),
    rounds: 2,
    route: pickRandom(ROUTES, random),
    hasStages: random.next() < 1 / 4,
    answerMilliseconds: [isVarying ? longest / 10 : longest, longest],
    perSecond: 10 + random.nextInteger(40),
    slots: random.next() < 1 / 4 ? 2 + random.nextInteger(20) : undefined,
    signals,
    store: random.next() < 1 / 4
      ? pickRandom(["busy", "reset", "silent"] as const, random)
      : "none",
  };
}
