import type { ServiceRepeats } from "../repeats/judge_services.ts";
import type { PlayOptions } from "../losses/play_on_site.ts";
import type { PausedStream } from "./paused_stream.ts";
import type { PauseVerdict } from "./judge_pauses.ts";
import type { SeriesStep } from "./pause_series.ts";
import type { PauseSituation } from "./pause_situation.ts";
import type { StepContext } from "./pause_steps.ts";
import { SeededRandom } from "kelpspar-shared";
import { judgeServices } from "../repeats/judge_services.ts";
import { REPEAT_SITES } from "../repeats/repeat_site.ts";
import { runWithDaemons } from "../wire/run_with_daemons.ts";
import { WireSite } from "../wire/wire_site.ts";
import { judgePauses } from "./judge_pauses.ts";
import {
  CONFIGURATION_SERIES,
  ENDING_SERIES,
  modelInTurn,
  ROUTE_TIMEOUT_MILLISECONDS,
} from "./pause_series.ts";
import { startDrawnSteps } from "./pause_steps.ts";
import { sendStreams } from "./send_streams.ts";

const SITE_NAME = "slow_stage_calls";
const { zones: ZONES, timing: TIMING, ...SITE } = REPEAT_SITES[SITE_NAME];
/** Number of pieces of each stage. */
const PIECES = [1, 6, 16];
const OBJECTIVE_MILLISECONDS = 2_700;
/** More than the streams of an endpoint. */
const SLOTS = 16;
const RESTART_MILLISECONDS = 4_000;
const PAUSE_INTERVAL_MILLISECONDS = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;
const STAGED_ROUTE = "resumed";
const DIRECT_ROUTE = "direct";

/** Options of `runPauses`. */
export interface RunPausesOptions extends PlayOptions {
  readonly situation: PauseSituation;
}

/** What callers and endpoints saw. */
export interface PauseResult extends PauseVerdict {
  readonly sent: number;
  readonly services: readonly ServiceRepeats[];
}

/** Sends streams while their endpoints pause or end, and judges them. */
export async function runPauses(
  { seed, situation, program, onLine }: RunPausesOptions,
): Promise<PauseResult> {
  const site = new WireSite({
    plainRunners: 1,
    modelServices: SITE.modelServices,
    stageServices: SITE.stageServices,
    retrySlack: SITE.retrySlack,
    ...TIMING,
    routes: [{
      name: DIRECT_ROUTE,
      kind: "streaming",
      service: "model",
      attempts: 2,
      isResumable: true,
      priority: 1,
      objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
      stages: [],
    }],
    hasEngines: false,
    hasSignedEvents: true,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    restartMilliseconds: RESTART_MILLISECONDS,
    slots: SLOTS,
    timeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
    zones: ZONES,
  });
  const options = {
    count: situation.daemons,
    program: program.path,
    nodeArguments: program.nodeArguments,
    zones: ZONES,
    onLine,
  };
  return await runWithDaemons(site, options, async (daemons) => {
    const random = new SeededRandom(seed);
    const context: StepContext = {
      site,
      daemons,
      random,
      graceMilliseconds: TIMING.graceSeconds * MILLISECONDS_PER_SECOND,
      endings: new Map(),
      timers: [],
      stops: [],
    };
    const { hasStages } = situation;
    const endSeries = startSeries(context, situation);
    try {
      const streams = await sendStreams(situation, {
        daemons,
        host: site.host,
        random,
        path: `/${hasStages ? STAGED_ROUTE : DIRECT_ROUTE}/x`,
        pieces: hasStages ? PIECES : [],
        onSent: endSeries,
      });
      return judge(context, situation, streams);
    } finally {
      endSeries();
      context.timers.forEach(clearTimeout);
    }
  });
}

function judge(
  { site, graceMilliseconds, endings, stops }: StepContext,
  { hasStages }: PauseSituation,
  streams: readonly PausedStream[],
): PauseResult {
  const services = new Set([
    "model",
    ...(hasStages ? site.stagesOf.keys() : []),
  ]);
  return {
    ...judgePauses({
      streams,
      runs: site.models.flatMap(({ runs }) => runs),
      endings,
      stops,
      graceMilliseconds,
      deadlineMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
    }),
    sent: streams.length,
    services: judgeServices(
      site,
      { site: SITE_NAME },
      streams.map(({ sentAt }) => ({ at: sentAt, services })),
    ),
  };
}

/** Starts what a situation plays; returns the function that ends it. */
function startSeries(
  context: StepContext,
  situation: PauseSituation,
): () => void {
  if (situation.hasDrawnSteps) return startDrawnSteps(context);
  const { pauseMilliseconds, pausingEndpoints, silence } = situation;
  const series: readonly SeriesStep[] = [
    CONFIGURATION_SERIES[situation.configuration],
    ENDING_SERIES[situation.ending],
    {
      intervalMilliseconds: PAUSE_INTERVAL_MILLISECONDS,
      play: (_, number) => {
        if (pauseMilliseconds === 0) return;
        for (let index = 0; index < pausingEndpoints; index++) {
          modelInTurn(context, number * pausingEndpoints + index)
            ?.fallSilent(pauseMilliseconds, silence);
        }
      },
    },
  ];
  const timers = series.map(({ intervalMilliseconds, play }) => {
    let number = 0;
    return setInterval(() => play(context, number++), intervalMilliseconds);
  });
  return () => timers.forEach(clearInterval);
}
