import type { BuiltProgram } from "../wire/build_program.ts";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { DirectoryCallerOptions } from "../wire/directory_caller.ts";
import type { PlannedStop } from "./stop_attempt.ts";
import type { StopAndRestartOptions } from "./stop_and_restart.ts";
import type { StopRecords } from "./check_stops.ts";
import type { StopSite } from "./stop_sites.ts";
import type { StopSituation } from "./stop_situation.ts";
import { SeededRandom } from "kelpspar-shared";
import { join } from "node:path";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { BrittleCapacity } from "../wire/brittle_capacity.ts";
import { createDaemons } from "../wire/create_daemons.ts";
import { WireSite } from "../wire/wire_site.ts";
import { DirectoryCaller } from "../wire/directory_caller.ts";
import { stopAndRestart } from "./stop_and_restart.ts";
import { STOP_SITES } from "./stop_sites.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** Time for daemons to start and discover each other. */
const STARTUP_MILLISECONDS = 3_000;
/** Time between the last restart of a round and the next round. */
const BETWEEN_ROUNDS_MILLISECONDS = 1_500;
const CALLERS = 6;

/** Options of `runStops`. */
export interface RunStopsOptions {
  readonly seed: number;
  readonly situation: StopSituation;
  /** The daemon's program. */
  readonly program: Pick<BuiltProgram, "nodeArguments"> & {
    readonly path: string;
  };
  /** Receives the daemons' log lines. */
  readonly onLine?: (line: string) => void;
}

/**
 * Stops daemons in overlapping series, as platforms do, while callers use them.
 */
export async function runStops(options: RunStopsOptions): Promise<StopRecords> {
  const { situation } = options;
  const graceMilliseconds = situation.graceSeconds * MILLISECONDS_PER_SECOND;
  const stopSite: StopSite = STOP_SITES[situation.site];
  const { zones, deadlineMilliseconds } = stopSite;
  const site = new WireSite({
    ...stopSite.options,
    zones,
    hasEngines: false,
    graceSeconds: situation.graceSeconds,
    timeoutMilliseconds: deadlineMilliseconds,
  });
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-stops-"));
  const runners = [...site.plain, ...site.models];
  for (const runner of runners) {
    if (situation.slots === undefined) continue;
    runner.capacity = new BrittleCapacity({
      slots: situation.slots,
      refusalsPerSecond: Number.POSITIVE_INFINITY,
    });
  }
  await site.start();
  const daemons = await createDaemons(site, {
    count: situation.daemons,
    folder,
    program: options.program.path,
    nodeArguments: options.program.nodeArguments,
    zones,
    onLine: options.onLine,
  });
  for (const daemon of daemons) daemon.start();
  try {
    await setTimeoutPromise(STARTUP_MILLISECONDS);
    let isOver = false;
    const createCaller = (
      name: string,
      caller: Pick<
        DirectoryCallerOptions,
        "random" | "zone" | "isSticky" | "onlyAddress"
      >,
    ): DirectoryCaller =>
      new DirectoryCaller({
        ...caller,
        name,
        host: site.host,
        daemons,
        situation,
        stopSite,
      });
    const callers = Array.from(
      { length: CALLERS },
      (_, index) =>
        createCaller(`c${index}`, {
          random: new SeededRandom(options.seed * CALLERS + index),
          zone: zones[index % zones.length] ?? "a",
          isSticky: index < situation.stickyCallers,
        }),
    );
    const followers: DirectoryCaller[] = [];
    const followRandom = new SeededRandom(options.seed);
    const follow = (stop: PlannedStop): void => {
      if (situation.followingMilliseconds === undefined) return;
      const follower = createCaller(`f${followers.length}`, {
        random: followRandom,
        zone: "a",
        isSticky: true,
        onlyAddress: stop.address,
      });
      followers.push(follower);
      const isGone = (): boolean => stop.endedAt !== undefined;
      calls.push(follower.run(situation.followingMilliseconds, isGone));
    };
    const interval = CALLERS * MILLISECONDS_PER_SECOND / situation.perSecond;
    const calls = callers.map((caller) => caller.run(interval, () => isOver));
    await setTimeoutPromise(
      situation.warmUpMilliseconds + situation.answerMilliseconds[1] +
        situation.readMilliseconds,
    );
    site.store.fault = situation.store;
    for (const stage of site.stages) stage.slowdown = situation.stageSlowdown;
    const stops: PlannedStop[] = [];
    for (let round = 0; round < situation.rounds; round++) {
      await playRound(daemons, { situation, graceMilliseconds, stops, follow });
      await setTimeoutPromise(BETWEEN_ROUNDS_MILLISECONDS);
    }
    isOver = true;
    for (const stage of site.stages) stage.slowdown = 1;
    await Promise.all(calls);
    return {
      attempts: [...callers, ...followers].flatMap(({ attempts }) => attempts),
      runs: runners.flatMap(({ runs }) => runs),
      stops,
      graceMilliseconds,
      deadlineMilliseconds,
      isRepeatable: situation.route === "often" ||
        situation.route === "resumed",
    };
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.end()));
    site.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}

/** What the stops of a round share. */
interface RoundOptions
  extends
    Pick<StopAndRestartOptions, "graceMilliseconds" | "stops" | "follow"> {
  readonly situation: StopSituation;
}

async function playRound(
  daemons: readonly DaemonProcess[],
  options: RoundOptions,
): Promise<void> {
  const { stopped, gapMilliseconds, againMilliseconds } = options.situation;
  const restarts: Promise<void>[] = [];
  for (const daemon of daemons.slice(0, stopped)) {
    const restart = stopAndRestart(daemon, {
      ...options.situation,
      ...options,
    });
    restarts.push(
      againMilliseconds === undefined ? restart : restart.then(async () => {
        await setTimeoutPromise(againMilliseconds);
        await stopAndRestart(daemon, { ...options.situation, ...options });
      }),
    );
    await setTimeoutPromise(gapMilliseconds);
  }
  await Promise.all(restarts);
}
