import type { BuiltProgram } from "../wire/build_program.ts";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { LossResult } from "./judge_losses.ts";
import type { LossSituation } from "./loss_situation.ts";
import type { StreamRecord } from "./stream_record.ts";
import { SeededRandom } from "kelpspar-shared";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { createDaemons } from "../wire/create_daemons.ts";
import { WireSite } from "../wire/wire_site.ts";
import { judgeLosses } from "./judge_losses.ts";
import { KILL_SERIES } from "./kill_series.ts";
import { StreamCaller } from "./stream_caller.ts";
import { VERSION_CHANGES } from "./version_changes.ts";

const ZONES = ["a", "b"];
const STREAMS = 60;
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
/** Time for daemons to start and discover each other. */
const STARTUP_MILLISECONDS = 3_000;
/** Time in which streams begin. */
const BEGIN_MILLISECONDS = 500;
/** Time from the last begun stream to the situation. */
const SETTLE_MILLISECONDS = 500;
const STORE_OUTAGE_MILLISECONDS = 2_000;
const NEW_STREAMS = 24;
const NEW_STREAM_EVENTS = 2;
/** Time from the first kill to the first new stream. */
const BEFORE_NEW_MILLISECONDS = 1_500;
const NEW_INTERVAL_MILLISECONDS = 125;
/** Endpoints that a version needs, so that streams survive the loss of one. */
const RESUMABLE_ENDPOINTS = 2;

/** Options of `runLosses`. */
export interface RunLossesOptions {
  readonly seed: number;
  readonly situation: LossSituation;
  /** The daemon's program. */
  readonly program: Pick<BuiltProgram, "nodeArguments"> & {
    readonly path: string;
  };
  /** Receives the daemons' log lines. */
  readonly onLine?: (line: string) => void;
}

/**
 * Kills daemons while callers receive streams of a service with several software
 * versions, and judges what becomes of these streams.
 */
export async function runLosses(
  options: RunLossesOptions,
): Promise<LossResult> {
  const { situation, seed } = options;
  const site = new WireSite({
    modelRunners: situation.versions.length,
    modelVersions: situation.versions,
    eventMilliseconds: EVENT_MILLISECONDS,
    slots: SLOTS,
    stageServices: STAGE_SERVICES,
    room: STAGE_ROOM,
    retrySlack: RETRY_SLACK,
    timeoutMilliseconds: ROUTE_TIMEOUT_MILLISECONDS,
    hasEngines: false,
    zones: ZONES,
  });
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-losses-"));
  await site.start();
  const daemons = await createDaemons(site, {
    count: situation.daemons,
    folder,
    program: options.program.path,
    nodeArguments: options.program.nodeArguments,
    zones: ZONES,
    onLine: options.onLine,
  });
  const caller = new StreamCaller({
    host: site.host,
    daemons,
    random: new SeededRandom(seed),
    events: situation.events,
    pieces: PIECES,
  });
  try {
    for (const daemon of daemons) daemon.start();
    await setTimeoutPromise(STARTUP_MILLISECONDS);
    const streams = await playSituation(situation, { site, daemons, caller });
    return judgeLosses({
      streams,
      events: situation.events,
      resumableVersions: resumableVersionsOf(site),
      stageArrivals: site.stages.flatMap(({ arrivals }) => arrivals),
    });
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.end()));
    caller.end();
    site.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}

async function playSituation(
  situation: LossSituation,
  { site, daemons, caller }: {
    readonly site: WireSite;
    readonly daemons: readonly DaemonProcess[];
    readonly caller: StreamCaller;
  },
): Promise<readonly StreamRecord[]> {
  const { change, changeTime, leadMilliseconds, storeOutage } = situation;
  const streams: Promise<StreamRecord>[] = [];
  for (let number = 0; number < STREAMS; number++) {
    streams.push(caller.follow());
    await setTimeoutPromise(BEGIN_MILLISECONDS / STREAMS);
  }
  await setTimeoutPromise(SETTLE_MILLISECONDS);
  if (changeTime === "before_kill") await VERSION_CHANGES[change](site);
  if (storeOutage === "before_kill") site.store.fault = "reset";
  await setTimeoutPromise(leadMilliseconds);
  if (storeOutage === "before_kill") site.store.fault = "none";
  if (storeOutage === "from_kill") {
    site.store.fault = "reset";
    setTimeout(() => site.store.fault = "none", STORE_OUTAGE_MILLISECONDS);
  }
  const added = beginNewStreams(caller);
  await KILL_SERIES[situation.kill](daemons, {
    downMilliseconds: situation.downMilliseconds,
    onDown: async () => {
      if (changeTime === "while_down") await VERSION_CHANGES[change](site);
    },
  });
  return [...await Promise.all(streams), ...await added];
}

/** Begins streams after the kill, one try each. */
async function beginNewStreams(
  caller: StreamCaller,
): Promise<readonly StreamRecord[]> {
  await setTimeoutPromise(BEFORE_NEW_MILLISECONDS);
  const streams: Promise<StreamRecord>[] = [];
  for (let number = 0; number < NEW_STREAMS; number++) {
    streams.push(
      caller.follow({
        isNew: true,
        maximumTries: 1,
        maximumEvents: NEW_STREAM_EVENTS,
      }),
    );
    await setTimeoutPromise(NEW_INTERVAL_MILLISECONDS);
  }
  return await Promise.all(streams);
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
