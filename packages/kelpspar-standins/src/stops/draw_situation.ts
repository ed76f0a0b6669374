import type { RandomSource } from "kelpspar-shared";
import type { ExtraSignal, StopSituation } from "./stop_situation.ts";
import { pickRandom } from "../soak/pick_random.ts";
import { DEFAULT_SITUATION } from "./stop_situation.ts";

const GRACE_SECONDS = [3, 4, 6, 8, 12];
const GAPS_MILLISECONDS = [0, 100, 400, 1_000, 2_000];
const ROUTES = ["stream", "stream", "resumed", "once", "often"] as const;
const MAXIMUM_DAEMONS = 8;
const STAGED_SITES = ["three_stage_services", "understated_stages"] as const;
const STAGED_SHARE = 1 / 3;
const MAXIMUM_EVENTS = 104;
const EVENT_MILLISECONDS = [14, 14, 30];
const FOLLOWING_MILLISECONDS = [undefined, 60, 60, 200];
/** Shortest answer, milliseconds. */
const MINIMUM_ANSWER_MILLISECONDS = 50;
const MILLISECONDS_PER_SECOND = 1_000;

/** Draws a situation whose longest answers last up to the grace period. */
export function drawSituation(random: RandomSource): StopSituation {
  const drawn = drawPlain(random);
  // Drawn last, so that a seed's other draws are the same on both sites.
  return random.next() < STAGED_SHARE
    ? { ...drawn, ...drawStaged(random) }
    : drawn;
}

/** Draws what differs on a site whose streams begin after several stages. */
function drawStaged(random: RandomSource): Partial<StopSituation> {
  const eventMilliseconds = pickRandom(EVENT_MILLISECONDS, random);
  return {
    site: pickRandom(STAGED_SITES, random),
    route: pickRandom(["resumed", "resumed", "stream"] as const, random),
    hasStages: true,
    answerMilliseconds: [0, MAXIMUM_EVENTS * eventMilliseconds],
    streamLengths: {
      medianEvents: 14,
      deviation: 1.4,
      maximumEvents: MAXIMUM_EVENTS,
      eventMilliseconds,
    },
    perSecond: 4 + random.nextInteger(6),
    slots: undefined,
    stickyCallers: random.nextInteger(4),
    followingMilliseconds: pickRandom(FOLLOWING_MILLISECONDS, random),
    warmUpMilliseconds: 2_000 + random.nextInteger(8_000),
    restartMilliseconds: pickRandom([0, 500], random),
    againMilliseconds: random.next() < 1 / 4
      ? 1_000 + random.nextInteger(3_000)
      : undefined,
    stageSlowdown: pickRandom([1, 1, 1, 3], random),
    rounds: 1,
  };
}

function drawPlain(random: RandomSource): StopSituation {
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
