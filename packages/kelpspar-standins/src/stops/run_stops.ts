import type { BuiltProgram } from "../wire/build_program.ts";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { PlannedStop } from "./stop_attempt.ts";
import type { StopRecords } from "./check_stops.ts";
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

const MILLISECONDS_PER_SECOND = 1_000;
const RUNNERS = 4;
const DEADLINE_MILLISECONDS = 15_000;
/** Time for daemons to start and discover each other. */
const STARTUP_MILLISECONDS = 3_000;
/** Callers send for this time before the first stop, besides one answer. */
const WARM_UP_MILLISECONDS = 2_000;
/** Time between the end of a process and its next start. */
const RESTART_MILLISECONDS = 500;
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
  const site = new WireSite({
    plainRunners: RUNNERS,
    modelRunners: RUNNERS,
    hasEngines: false,
    graceSeconds: situation.graceSeconds,
    timeoutMilliseconds: DEADLINE_MILLISECONDS,
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
    onLine: options.onLine,
  });
  for (const daemon of daemons) daemon.start();
  try {
    await setTimeoutPromise(STARTUP_MILLISECONDS);
    let isOver = false;
    const callers = Array.from(
      { length: CALLERS },
      (_, index) =>
        new DirectoryCaller({
          name: `c${index}`,
          host: site.host,
          daemons,
          situation,
          deadlineMilliseconds: DEADLINE_MILLISECONDS,
          random: new SeededRandom(options.seed * CALLERS + index),
          isSticky: index < situation.stickyCallers,
        }),
    );
    const interval = CALLERS * MILLISECONDS_PER_SECOND / situation.perSecond;
    const calls = callers.map((caller) => caller.run(interval, () => isOver));
    await setTimeoutPromise(
      WARM_UP_MILLISECONDS + situation.answerMilliseconds[1] +
        situation.readMilliseconds,
    );
    site.store.fault = situation.store;
    const stops: PlannedStop[] = [];
    for (let round = 0; round < situation.rounds; round++) {
      await playRound(daemons, { situation, graceMilliseconds, stops });
      await setTimeoutPromise(BETWEEN_ROUNDS_MILLISECONDS);
    }
    isOver = true;
    await Promise.all(calls);
    return {
      attempts: callers.flatMap(({ attempts }) => attempts),
      runs: runners.flatMap(({ runs }) => runs),
      stops,
      graceMilliseconds,
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      isRepeatable: situation.route === "often" ||
        situation.route === "resumed",
    };
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.end()));
    site.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}

async function playRound(
  daemons: readonly DaemonProcess[],
  { situation, graceMilliseconds, stops }: {
    readonly situation: StopSituation;
    readonly graceMilliseconds: number;
    readonly stops: PlannedStop[];
  },
): Promise<void> {
  const restarts: Promise<void>[] = [];
  for (const daemon of daemons.slice(0, situation.stopped)) {
    for (const { signal, afterMilliseconds } of situation.signals) {
      if (afterMilliseconds < 0) daemon.signal(signal);
      else setTimeout(() => daemon.signal(signal), afterMilliseconds);
    }
    const stop: PlannedStop = {
      address: daemon.front,
      signalledAt: performance.now(),
      endedAt: undefined,
      wasKilled: false,
    };
    stops.push(stop);
    daemon.signal("SIGTERM");
    const kill = setTimeout(() => {
      stop.wasKilled = true;
      daemon.signal("SIGKILL");
    }, graceMilliseconds);
    restarts.push(daemon.exited.then(async () => {
      clearTimeout(kill);
      stop.endedAt = performance.now();
      await setTimeoutPromise(RESTART_MILLISECONDS);
      await daemon.restartAfterExit();
    }));
    await setTimeoutPromise(situation.gapMilliseconds);
  }
  await Promise.all(restarts);
}
