import type { SoakVerdict } from "./check_soak.ts";
import type { SoakFaultName } from "./soak_faults.ts";
import { SeededRandom, SystemTimer } from "kelpspar-shared";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { WireSite } from "../wire/wire_site.ts";
import { checkSoak, CRASHING_PART } from "./check_soak.ts";
import { CRASHING_PATH_SUFFIX } from "../wire/runner_stand_in.ts";
import { WireCaller } from "../wire/wire_caller.ts";
import { createDaemons } from "../wire/create_daemons.ts";
import { SOAK_FAULTS } from "./soak_faults.ts";

/** Settings of a soak test. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly daemons: number;
  /** Path of the bundle that the platform runs. */
  readonly program: string;
  /** Path of the compiled `partition_hook.ts`. */
  readonly partitionHook: string;
  /** Names of the faults to inject; without any it is a demonstration. */
  readonly faults: readonly SoakFaultName[];
  readonly print: (line: string) => void;
}

const CALLER_COUNT = 10;
/** Long enough for faults within a stream. */
const EVENT_MILLISECONDS = 30;
const MODEL_VERSIONS = ["v1", "v1.2"];
const MILLISECONDS_PER_SECOND = 1_000;
/** Time for daemons to start and discover each other. */
const STARTUP_MILLISECONDS = 2_000;
/** Time between faults; shorter than most faults, so that several overlap. */
const FAULT_INTERVAL_MILLISECONDS = 500;
/** Time without new faults at the end, so that pending requests finish. */
const QUIET_MILLISECONDS = 3_000;
const CALLER_NAME_BYTES = 4;
/** Part that the prompts of all callers begin with. */
const SHARED_PART = "aa";
/** Pause between repeats of requests that crash runners. */
const CRASHING_REQUEST_PAUSE_MILLISECONDS = 200;

/**
 * Runs real daemon processes against stand-ins and injects faults from outside.
 * The seed determines the faults, but not the timing inside the processes.
 */
export async function runSoak(options: SoakOptions): Promise<SoakVerdict> {
  const timer = new SystemTimer();
  const random = new SeededRandom(options.seed);
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-soak-"));
  const site = new WireSite({
    plainRunners: 3,
    modelRunners: 4,
    modelVersions: MODEL_VERSIONS,
    eventMilliseconds: EVENT_MILLISECONDS,
    hasProxies: true,
  });
  for (const runner of site.models) {
    runner.crashingParts = new Set([CRASHING_PART]);
  }
  await site.start();
  const daemons = await createDaemons(site, {
    ...options,
    count: options.daemons,
    folder,
  });
  for (const daemon of daemons) daemon.start();
  const sleep = (milliseconds: number): Promise<void> =>
    new Promise((resolve) => timer.registerTimeout(resolve, milliseconds));
  try {
    await sleep(STARTUP_MILLISECONDS);
    const endsAt = timer.now() + options.seconds * MILLISECONDS_PER_SECOND;
    const callers = Array.from(
      { length: CALLER_COUNT },
      (_, index) =>
        new WireCaller({
          name: `${random.nextHexadecimal(CALLER_NAME_BYTES)}-${index}`,
          daemons,
          random: new SeededRandom(options.seed * CALLER_COUNT + index),
          sharedParts: [SHARED_PART],
        }),
    );
    // Their requests end endpoints, which others are refused for.
    const crashingCallers = (): readonly WireCaller[] => [
      new WireCaller({
        name: random.nextHexadecimal(CALLER_NAME_BYTES),
        daemons,
        random: new SeededRandom(options.seed),
        target: `all${CRASHING_PATH_SUFFIX}`,
        routes: ["stream"],
        pauseMilliseconds: CRASHING_REQUEST_PAUSE_MILLISECONDS,
      }),
      new WireCaller({
        name: random.nextHexadecimal(CALLER_NAME_BYTES),
        daemons,
        random: new SeededRandom(options.seed + 1),
        routes: ["stream", "resumed"],
        sharedParts: [SHARED_PART, CRASHING_PART],
        pauseMilliseconds: CRASHING_REQUEST_PAUSE_MILLISECONDS,
      }),
    ];
    if (options.faults.length > 0) callers.push(...crashingCallers());
    const calls = callers.map((caller) =>
      caller.run(() => timer.now() >= endsAt)
    );
    const targets = { site, daemons, proxies: site.proxies, random, timer };
    while (timer.now() < endsAt - QUIET_MILLISECONDS) {
      await sleep(FAULT_INTERVAL_MILLISECONDS);
      const name = options.faults[random.nextInteger(options.faults.length)];
      if (name === undefined) continue;
      options.print(`${name}: ${SOAK_FAULTS[name](targets)}`);
    }
    await Promise.all(calls);
    const runners = [...site.plain, ...site.models];
    return checkSoak(
      callers.flatMap((caller) => caller.answers),
      runners.flatMap((runner) => runner.runs),
      [...runners, ...site.stages].map(({ limit }) => limit),
      [site.plain, site.models, site.stages].map((ofService) =>
        ofService.flatMap((runner) => runner.arrivals)
      ),
    );
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.end()));
    site.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}
