import type { BuiltProgram } from "../wire/build_program.ts";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { LossResult } from "./judge_losses.ts";
import type { StreamCallerOptions } from "./stream_caller.ts";
import type { StreamRecord } from "./stream_record.ts";
import { SeededRandom } from "kelpspar-shared";
import { runWithDaemons } from "../wire/run_with_daemons.ts";
import { WireSite } from "../wire/wire_site.ts";
import { judgeLosses } from "./judge_losses.ts";
import { StreamCaller } from "./stream_caller.ts";

const ZONES = ["a", "b"];
const EVENT_MILLISECONDS = 130;
/** Pieces of the two stages of a request. */
const PIECES = [1, 1];
const STAGE_SERVICES = [{ name: "stage", runners: 4, batch: 16 }];
const STAGE_ROOM = 4_000;
/** More than all streams of a site. */
const SLOTS = 64;
/** Repeats are judged elsewhere. */
const RETRY_SLACK = 400;
const ROUTE_TIMEOUT_MILLISECONDS = 15_000;
/** Endpoints that a version needs, so that streams survive the loss of one. */
const RESUMABLE_ENDPOINTS = 2;

/** How a site is started. */
export interface PlayOptions {
  readonly seed: number;
  /** The daemon's program. */
  readonly program: Pick<BuiltProgram, "nodeArguments"> & {
    readonly path: string;
  };
  /** Receives the daemons' log lines. */
  readonly onLine?: (line: string) => void;
}

/** Size of a site. */
export interface SiteSize {
  /** Software versions of the endpoints at first. */
  readonly versions: readonly string[];
  readonly daemons: number;
  /** Number of events in a complete stream. */
  readonly events: number;
}

/** A site whose daemons run. */
export interface RunningSite {
  readonly site: WireSite;
  readonly daemons: readonly DaemonProcess[];
  readonly random: SeededRandom;
  readonly createCaller: (
    options: Pick<StreamCallerOptions, "name" | "isKeptOpen">,
  ) => StreamCaller;
}

/** Starts a site, plays on it, and judges the streams of the play. */
export async function playOnSite(
  options: PlayOptions & { readonly size: SiteSize },
  play: (running: RunningSite) => Promise<readonly StreamRecord[]>,
): Promise<LossResult> {
  const { versions, daemons: count, events } = options.size;
  const site = new WireSite({
    modelRunners: versions.length,
    modelVersions: versions,
    eventMilliseconds: EVENT_MILLISECONDS,
    slots: SLOTS,
    stageServices: STAGE_SERVICES,
    room: STAGE_ROOM,
    retrySlack: RETRY_SLACK,
    timeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
    hasEngines: false,
    zones: ZONES,
  });
  const random = new SeededRandom(options.seed);
  const callers: StreamCaller[] = [];
  const { program, onLine } = options;
  try {
    return await runWithDaemons(
      site,
      {
        count,
        program: program.path,
        nodeArguments: program.nodeArguments,
        zones: ZONES,
        onLine,
      },
      async (daemons) => {
        const createCaller: RunningSite["createCaller"] = (callerOptions) => {
          const caller = new StreamCaller({
            ...callerOptions,
            host: site.host,
            daemons,
            random,
            events,
            pieces: PIECES,
          });
          callers.push(caller);
          return caller;
        };
        const streams = await play({ site, daemons, random, createCaller });
        return judgeLosses({
          streams,
          events,
          resumableVersions: resumableVersionsOf(site),
          lastLeavingAt: site.lastLeavingAt,
          stageArrivals: site.stages.flatMap(({ arrivals }) => arrivals),
        });
      },
    );
  } finally {
    for (const caller of callers) caller.end();
  }
}

/** Versions with enough endpoints that are listed as ready. */
function resumableVersionsOf(site: WireSite): ReadonlySet<string> {
  const counts = new Map<string, number>();
  for (const { value } of site.runnerRowsOf("model")) {
    const { version, state } = value as {
      readonly version: string;
      readonly state: string;
    };
    if (state !== "ready") continue;
    counts.set(version, (counts.get(version) ?? 0) + 1);
  }
  return new Set(
    [...counts].filter(([, count]) => count >= RESUMABLE_ENDPOINTS)
      .map(([version]) => version),
  );
}
