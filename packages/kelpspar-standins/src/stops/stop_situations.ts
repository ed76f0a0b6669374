import type { StopSituation } from "./stop_situation.ts";
import { DEFAULT_SITUATION } from "./stop_situation.ts";

const LARGE_BYTES = 15_000_000;

/**
 * Streams that begin after stages of three services, while daemons are stopped
 * one after the other and their callers go on sending to them.
 */
const STAGED_TURNS = {
  site: "understated_stages",
  daemons: 8,
  stopped: 8,
  gapMilliseconds: 1_300,
  rounds: 1,
  route: "resumed",
  hasStages: true,
  answerMilliseconds: [0, 1_456],
  streamLengths: {
    medianEvents: 14,
    deviation: 1.4,
    maximumEvents: 104,
    eventMilliseconds: 14,
  },
  perSecond: 7,
  stickyCallers: 0,
  followingMilliseconds: 60,
  warmUpMilliseconds: 25_000,
  restartMilliseconds: 0,
} as const satisfies Partial<StopSituation>;

/** Situations by name, each with what differs from the default. */
const DIFFERENCES = {
  streams: {},
  "long-grace": { graceSeconds: 20, answerMilliseconds: [12_000, 12_000] },
  "short-grace": { graceSeconds: 4, answerMilliseconds: [3_000, 3_000] },
  "hang-ups": {
    signals: [
      { signal: "SIGHUP", afterMilliseconds: -300 },
      { signal: "SIGHUP", afterMilliseconds: 300 },
    ],
  },
  "second-stop": {
    signals: [{ signal: "SIGTERM", afterMilliseconds: 1_000 }],
  },
  "store-away": { store: "silent" },
  whole: {
    route: "often",
    answerMilliseconds: [2_500, 2_500],
  },
  "slow-whole": {
    route: "once",
    answerMilliseconds: [5_000, 5_000],
  },
  waiting: {
    route: "once",
    answerMilliseconds: [400, 400],
    slots: 2,
  },
  short: {
    route: "once",
    answerMilliseconds: [300, 300],
    perSecond: 60,
  },
  half: { stopped: 3, gapMilliseconds: 0 },
  turns: { gapMilliseconds: 9_000 },
  "slow-readers": {
    stopped: 3,
    gapMilliseconds: 400,
    route: "often",
    answerMilliseconds: [20, 20],
    bytes: LARGE_BYTES,
    readMilliseconds: 6_000,
    perSecond: 6,
  },
  varying: { answerMilliseconds: [600, 6_000] },
  stages: { hasStages: true, answerMilliseconds: [2_000, 2_000] },
  resumable: { route: "resumed" },
  one: { stopped: 1, route: "once", answerMilliseconds: [1_500, 1_500] },
  "one-of-stages": {
    stopped: 1,
    hasStages: true,
    answerMilliseconds: [2_000, 2_000],
  },
  "one-short-grace": {
    stopped: 1,
    graceSeconds: 4,
    route: "once",
    answerMilliseconds: [5_000, 5_000],
  },
  "longest-grace": {
    graceSeconds: 60,
    rounds: 1,
    answerMilliseconds: [12_000, 12_000],
  },
  "staged-turns": STAGED_TURNS,
  "staged-stated": { ...STAGED_TURNS, site: "three_stage_services" },
  "staged-not-followed": { ...STAGED_TURNS, followingMilliseconds: undefined },
  "staged-together": { ...STAGED_TURNS, gapMilliseconds: 0 },
  "staged-hang-ups": {
    ...STAGED_TURNS,
    signals: [{ signal: "SIGHUP", afterMilliseconds: -300 }],
  },
  "staged-again": { ...STAGED_TURNS, againMilliseconds: 2_000 },
  "staged-short-grace": { ...STAGED_TURNS, graceSeconds: 4 },
  "staged-long-grace": { ...STAGED_TURNS, graceSeconds: 20 },
} as const satisfies Readonly<Record<string, Partial<StopSituation>>>;

/** Name of a situation. */
export type StopSituationName = keyof typeof DIFFERENCES;

/** The names of all situations. */
export const STOP_SITUATION_NAMES = Object.keys(
  DIFFERENCES,
) as readonly StopSituationName[];

/** Returns a situation by its name. */
export function stopSituation(name: StopSituationName): StopSituation {
  return { ...DEFAULT_SITUATION, ...DIFFERENCES[name] };
}
