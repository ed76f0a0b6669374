import type { RandomSource } from "kelpspar-shared";
import type { PlannedStop } from "../stops/stop_attempt.ts";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { RunnerStandIn, SilenceOptions } from "../wire/runner_stand_in.ts";
import type { EndingSite } from "./pause_series.ts";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { pickRandom } from "../soak/pick_random.ts";
import { stopAndRestart } from "../stops/stop_and_restart.ts";
import { drawDaemons } from "../wire/draw_daemons.ts";
import {
  CONFIGURATION_SERIES,
  endModel,
  silenceModel,
} from "./pause_series.ts";

/** What a step may change. */
export interface StepContext extends EndingSite {
  readonly daemons: readonly DaemonProcess[];
  readonly random: RandomSource;
  /** Time from SIGTERM until a daemon is killed. */
  readonly graceMilliseconds: number;
  /** Receives planned stops. */
  readonly stops: PlannedStop[];
}

/** One step of a drawn series; steps overlap. */
export type PauseStep =
  | "pause_one"
  | "pause_some"
  | "end_one"
  | "silence_one"
  | "stop_some"
  | "stop_in_turn"
  | "hang_up_some"
  | "publish_same"
  | "publish_timeout";

const MINIMUM_PAUSE_MILLISECONDS = 300;
const MAXIMUM_PAUSE_MILLISECONDS = 2_600;
/** Share of pauses that last longer than that. */
const LONG_SHARE = 0.1;
const MAXIMUM_LONG_MILLISECONDS = 6_000;
/** Endpoints that are away at the same time. */
const MAXIMUM_AWAY = 3;
/** Time in which an endpoint that ends is back. */
const AWAY_MILLISECONDS = 8_000;
const RESTART_MILLISECONDS = 300;
const STOP_GAP_MILLISECONDS = 800;
const MAXIMUM_STEP_MILLISECONDS = 1_200;
const SILENCES: readonly SilenceOptions[] = [
  { requests: "begun" },
  { requests: "all" },
  { requests: "begun", isInsideEvents: true },
  { requests: "all", isInsideEvents: true },
];
/** How often steps are drawn, compared with each other. */
const WEIGHTS: Readonly<Record<PauseStep, number>> = {
  pause_one: 9,
  pause_some: 5,
  end_one: 2,
  silence_one: 2,
  stop_some: 1,
  stop_in_turn: 1,
  hang_up_some: 2,
  publish_same: 2,
  publish_timeout: 2,
};

/** Steps by name. */
export const PAUSE_STEPS: Readonly<
  Record<PauseStep, (context: StepContext) => Promise<void> | void>
> = {
  pause_one: (context) => pause(drawModel(context), context),
  pause_some: (context) => {
    const share = context.random.next();
    for (const model of context.site.models) {
      if (context.random.next() < share) pause(model, context);
    }
  },
  end_one: (context) => {
    if (!hasManyAway(context)) endModel(context, drawModel(context));
  },
  silence_one: (context) => {
    if (!hasManyAway(context)) silenceModel(context, drawModel(context));
  },
  stop_some: async (context) => {
    await Promise.all(
      drawDaemons(context).map((daemon) => stop(daemon, context)),
    );
  },
  stop_in_turn: async (context) => {
    const stops: Promise<void>[] = [];
    for (const daemon of drawDaemons(context)) {
      stops.push(stop(daemon, context));
      await setTimeoutPromise(STOP_GAP_MILLISECONDS);
    }
    await Promise.all(stops);
  },
  hang_up_some: (context) => {
    for (const daemon of drawDaemons(context)) daemon.signal("SIGHUP");
  },
  publish_same: (context) => CONFIGURATION_SERIES.same.play(context, 0),
  publish_timeout: (context) =>
    CONFIGURATION_SERIES.timeout.play(context, context.random.nextInteger(2)),
};

const STEPS = (Object.keys(PAUSE_STEPS) as readonly PauseStep[])
  .flatMap((step) => Array.from({ length: WEIGHTS[step] }, () => step));

/** Starts drawn steps that overlap; returns the function that ends them. */
export function startDrawnSteps(context: StepContext): () => void {
  let isOver = false;
  const play = async (): Promise<void> => {
    for (;;) {
      await setTimeoutPromise(
        context.random.next() * MAXIMUM_STEP_MILLISECONDS,
      );
      if (isOver) return;
      void PAUSE_STEPS[pickRandom(STEPS, context.random)](context);
    }
  };
  void play();
  return () => isOver = true;
}

function drawModel({ site, random }: StepContext): RunnerStandIn {
  return pickRandom(site.models, random);
}

function pause(
  model: RunnerStandIn,
  { random, endings }: StepContext,
): void {
  const isLong = random.next() < LONG_SHARE;
  const from = isLong ? MAXIMUM_PAUSE_MILLISECONDS : MINIMUM_PAUSE_MILLISECONDS;
  const to = isLong ? MAXIMUM_LONG_MILLISECONDS : MAXIMUM_PAUSE_MILLISECONDS;
  const milliseconds = from + random.next() * (to - from);
  const silence = pickRandom(SILENCES, random);
  // An endpoint that is silent for good would go on again.
  if (!endings.has(model.id)) model.fallSilent(milliseconds, silence);
}

function hasManyAway({ endings }: EndingSite): boolean {
  const since = performance.now() - AWAY_MILLISECONDS;
  const away = [...endings.values()].filter((at) => at > since);
  return away.length >= MAXIMUM_AWAY;
}

async function stop(
  daemon: DaemonProcess,
  { graceMilliseconds, stops }: StepContext,
): Promise<void> {
  if (daemon.processId === undefined || daemon.isStopping) return;
  await stopAndRestart(daemon, {
    signals: [],
    restartMilliseconds: RESTART_MILLISECONDS,
    graceMilliseconds,
    stops,
  });
}
