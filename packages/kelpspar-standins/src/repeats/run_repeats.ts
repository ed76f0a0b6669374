import type { BuiltProgram } from "../wire/build_program.ts";
import type { RepeatSituation } from "./repeat_situation.ts";
import type { ServiceRepeats } from "./judge_services.ts";
import type { Attempt } from "./send_load.ts";
import { SeededRandom } from "kelpspar-shared";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { Agent } from "undici";
import { createDaemons } from "../wire/create_daemons.ts";
import { WireSite } from "../wire/wire_site.ts";
import { FAULT_STEPS, FIRST_DAEMONS } from "./daemon_faults.ts";
import { REPEAT_SITES } from "./repeat_site.ts";
import { judgeServices } from "./judge_services.ts";
import { sendLoad } from "./send_load.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const STAGE_ROOM = 4_000;
const ATTEMPTS = 3;
const MINIMUM_TIMEOUT_MILLISECONDS = 3_000;
/** Time for daemons to start and discover each other. */
const STARTUP_MILLISECONDS = 3_000;
const SERVED_STATUS = 200;

/** Options of `runRepeats`. */
export interface RunRepeatsOptions {
  readonly seed: number;
  readonly situation: RepeatSituation;
  /** The daemon's program. */
  readonly program: Pick<BuiltProgram, "nodeArguments"> & {
    readonly path: string;
  };
  /** Path of the compiled `partition_hook.ts`, for partitions. */
  readonly partitionHook?: string;
  /** Receives the daemons' log lines. */
  readonly onLine?: (line: string) => void;
}

/** What callers and endpoints saw. */
export interface RepeatResult {
  readonly sent: number;
  /** Answers by status; "none" if the connection ended without one. */
  readonly answers: ReadonlyMap<string, number>;
  readonly whole: number;
  /** Attempts that took up a stream. */
  readonly resuming: number;
  readonly services: readonly ServiceRepeats[];
}

/**
 * Sends requests to daemons whose endpoints fail, while daemons have faults, and
 * counts at the endpoints how often requests, or pieces of stages, came again.
 */
export async function runRepeats(
  options: RunRepeatsOptions,
): Promise<RepeatResult> {
  const { situation } = options;
  const random = new SeededRandom(options.seed);
  const { mix, zones, ...parts } = REPEAT_SITES[situation.site];
  const { modelVersions, eventMilliseconds } = situation;
  const site = new WireSite({
    plainRunners: parts.plainRunners,
    modelServices: parts.modelServices,
    stageServices: parts.stageServices,
    routes: mix,
    zones,
    retrySlack: parts.retrySlack,
    ...parts.timing,
    modelVersions,
    eventMilliseconds,
    timeoutMilliseconds: Math.max(
      MINIMUM_TIMEOUT_MILLISECONDS,
      situation.deadlineMilliseconds,
    ),
    room: STAGE_ROOM,
    hasEngines: false,
    attempts: ATTEMPTS,
  });
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-repeats-"));
  await site.start();
  const daemons = await createDaemons(site, {
    count: situation.daemons,
    folder,
    program: options.program.path,
    nodeArguments: options.program.nodeArguments,
    ...(options.partitionHook === undefined
      ? {}
      : { partitionHook: options.partitionHook }),
    partitionTarget: situation.partitionTarget,
    zones,
    onLine: options.onLine,
  });
  const timers: NodeJS.Timeout[] = [];
  const agent = new Agent({ pipelining: 1 });
  try {
    const { daemonFault, faultIntervalMilliseconds } = situation;
    const isGrown = daemonFault === "grow";
    for (const daemon of isGrown ? daemons.slice(0, FIRST_DAEMONS) : daemons) {
      daemon.start();
    }
    await setTimeoutPromise(STARTUP_MILLISECONDS);
    setEndpointFaults(site, situation, random);
    site.store.fault = situation.store;
    let number = 0;
    timers.push(setTimeout(() => {
      timers.push(setInterval(() => {
        FAULT_STEPS[daemonFault](daemons, { number: number++, random });
      }, faultIntervalMilliseconds));
    }, situation.calmSeconds * MILLISECONDS_PER_SECOND));
    if (situation.stageRestartMilliseconds > 0) {
      let stage = 0;
      timers.push(setInterval(() => {
        const ended = site.stages[stage++ % site.stages.length];
        if (ended === undefined) return;
        if (situation.stageDownMilliseconds === 0) site.restartStage(ended);
        else {
          ended.crash();
          timers.push(setTimeout(
            () => site.restartStage(ended),
            situation.stageDownMilliseconds,
          ));
        }
      }, situation.stageRestartMilliseconds));
    }
    if (situation.replacementMilliseconds > 0) {
      const runners = [...site.plain, ...site.models, ...site.stages];
      let replaced = 0;
      timers.push(setInterval(() => {
        const runner = runners[replaced++ % runners.length];
        if (runner !== undefined) {
          site.replace(runner, situation.entryMilliseconds);
        }
      }, situation.replacementMilliseconds));
    }
    const attempts = await sendLoad(
      { site, daemons, agent, random },
      situation,
    );
    return judge(site, situation, attempts);
  } finally {
    timers.forEach(clearInterval);
    await Promise.all(daemons.map((daemon) => daemon.end()));
    await agent.destroy();
    site.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}

function setEndpointFaults(
  site: WireSite,
  { share, runnerFault, stageFault }: RepeatSituation,
  random: SeededRandom,
): void {
  const isHit = (): boolean => random.next() < share;
  for (const runner of [...site.plain, ...site.models]) {
    runner.drawFault = () => isHit() ? runnerFault : "none";
  }
  for (const stage of site.stages) {
    stage.drawFault = () => isHit() ? stageFault : "none";
  }
}

function judge(
  site: WireSite,
  situation: RepeatSituation,
  attempts: readonly Attempt[],
): RepeatResult {
  const answers = new Map<string, number>();
  for (const { status } of attempts) {
    const name = String(status ?? "none");
    answers.set(name, (answers.get(name) ?? 0) + 1);
  }
  return {
    sent: attempts.length,
    answers,
    whole: answers.get(String(SERVED_STATUS)) ?? 0,
    resuming: attempts.filter(({ isResuming }) => isResuming).length,
    services: judgeServices(site, situation, attempts),
  };
}
