import type { LossResult } from "./judge_losses.ts";
import type { LossStep } from "./loss_steps.ts";
import type { PlayOptions, RunningSite, SiteSize } from "./play_on_site.ts";
import type { StreamRecord } from "./stream_record.ts";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { pickRandom } from "../soak/pick_random.ts";
import { LOSS_STEPS } from "./loss_steps.ts";
import { playOnSite } from "./play_on_site.ts";

const DEFAULT_SECONDS = 30;
const DEFAULT_DAEMONS = 6;
const SIZE: Omit<SiteSize, "daemons"> = {
  versions: ["v0", "v0", "v1", "v1"],
  events: 30,
};
const STREAM_INTERVAL_MILLISECONDS = 125;
const MAXIMUM_STEP_MILLISECONDS = 1_000;
const MILLISECONDS_PER_SECOND = 1_000;
/** Streams are at risk where versions change and all daemons are lost. */
const STEPS: readonly LossStep[] = [
  ...Object.keys(LOSS_STEPS) as readonly LossStep[],
  "kill_all",
  "add_version",
  "retire_version",
];

/** Options of `runDrawnLosses`. */
export interface RunDrawnLossesOptions extends PlayOptions {
  readonly daemons?: number;
  /** Time in which streams begin and steps are drawn. */
  readonly seconds?: number;
}

/**
 * Plays a drawn series of overlapping faults of daemons and the store while
 * versions come and go, and judges the streams of its callers.
 */
export function runDrawnLosses(
  options: RunDrawnLossesOptions,
): Promise<LossResult> {
  const { daemons = DEFAULT_DAEMONS, seconds = DEFAULT_SECONDS } = options;
  return playOnSite(
    { ...options, size: { ...SIZE, daemons } },
    (running) => playSteps(running, seconds * MILLISECONDS_PER_SECOND),
  );
}

async function playSteps(
  running: RunningSite,
  milliseconds: number,
): Promise<readonly StreamRecord[]> {
  const { site, random, createCaller } = running;
  const context = { ...running, serving: new Set(site.models) };
  const callers = [
    createCaller({ name: "a" }),
    createCaller({ name: "b", isKeptOpen: true }),
  ];
  const endsAt = performance.now() + milliseconds;
  const isOver = (): boolean => performance.now() >= endsAt;
  const streams: Promise<StreamRecord>[] = [];
  const begin = async (): Promise<void> => {
    while (!isOver()) {
      streams.push(pickRandom(callers, random).follow());
      await setTimeoutPromise(STREAM_INTERVAL_MILLISECONDS);
    }
  };
  const steps: (Promise<void> | void)[] = [];
  const step = async (): Promise<void> => {
    while (!isOver()) {
      await setTimeoutPromise(random.next() * MAXIMUM_STEP_MILLISECONDS);
      steps.push(LOSS_STEPS[pickRandom(STEPS, random)](context));
    }
  };
  await Promise.all([begin(), step()]);
  await Promise.all(steps);
  return await Promise.all(streams);
}
