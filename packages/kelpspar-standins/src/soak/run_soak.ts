import type { SoakVerdict } from "./check_soak.ts";
import { SeededRandom, SystemTimer } from "kelpspar-shared";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { WireSite } from "../wire/wire_site.ts";
import { checkSoak } from "./check_soak.ts";
import { CRASHING_PATH } from "../wire/runner_stand_in.ts";
import { WireCaller } from "../wire/wire_caller.ts";
import { DaemonProcess } from "../wire/daemon_process.ts";
import { SOAK_FAULTS } from "./soak_faults.ts";

/** What a soak is run with. */
export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly daemons: number;
  /** The bundle that the platform runs. */
  readonly program: string;
  /** Without faults it is a demonstration. */
  readonly hasFaults: boolean;
  readonly print: (line: string) => void;
}

const CALLERS = 10;
const MILLISECONDS_PER_SECOND = 1_000;
/** Time for daemons to start and hear of each other. */
const START_MILLISECONDS = 2_000;
/** Time between faults: several overlap. */
const FAULT_MILLISECONDS = 500;
/** Time without faults at the end, in which what hangs is answered. */
const CALM_MILLISECONDS = 3_000;
const CALLER_NAME_BYTES = 4;
/** Between the repeats of a request that crashes runners. */
const CRASHING_PAUSE_MILLISECONDS = 200;

/**
 * Runs real daemons as processes before stand-ins and harms them from outside.
 * The faults follow the seed; what the processes do in their time doesn't.
 */
export async function runSoak(options: SoakOptions): Promise<SoakVerdict> {
  const timer = new SystemTimer();
  const random = new SeededRandom(options.seed);
  const folder = mkdtempSync(join(tmpdir(), "kelpspar-soak-"));
  const site = new WireSite({
    plainRunners: 3,
    modelRunners: 3,
    proxied: true,
  });
  await site.start();
  const daemons = await startDaemons(site, { folder, ...options });
  const sleep = (milliseconds: number): Promise<void> =>
    new Promise((resolve) => timer.registerTimeout(resolve, milliseconds));
  try {
    await sleep(START_MILLISECONDS);
    const endsAt = timer.now() + options.seconds * MILLISECONDS_PER_SECOND;
    const callers = Array.from(
      { length: CALLERS },
      (_, index) =>
        new WireCaller({
          name: `${random.nextHexadecimal(CALLER_NAME_BYTES)}-${index}`,
          daemons,
          random: new SeededRandom(options.seed * CALLERS + index),
        }),
    );
    callers.push(
      new WireCaller({
        name: random.nextHexadecimal(CALLER_NAME_BYTES),
        daemons,
        random: new SeededRandom(options.seed),
        target: `all${CRASHING_PATH}`,
        routes: ["stream"],
        pauseMilliseconds: CRASHING_PAUSE_MILLISECONDS,
      }),
    );
    const calls = callers.map((one) => one.run(() => timer.now() >= endsAt));
    const targets = { site, daemons, proxies: site.proxies, random, timer };
    while (timer.now() < endsAt - CALM_MILLISECONDS) {
      await sleep(FAULT_MILLISECONDS);
      if (!options.hasFaults) continue;
      const names = Object.keys(SOAK_FAULTS);
      const name = names[random.nextInteger(names.length)] ?? "kill";
      options.print(`${name}: ${SOAK_FAULTS[name]?.(targets)}`);
    }
    await Promise.all(calls);
    const runners = [...site.plain, ...site.models];
    return checkSoak(
      callers.flatMap((one) => one.answers),
      runners.flatMap((one) => one.runs),
      [...runners, ...site.stages].map(({ limit }) => limit),
    );
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.end()));
    site.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}

async function startDaemons(
  site: WireSite,
  options: Pick<SoakOptions, "daemons" | "program"> & {
    readonly folder: string;
  },
): Promise<readonly DaemonProcess[]> {
  const daemons: DaemonProcess[] = [];
  for (let index = 0; index < options.daemons; index++) {
    const name = `daemon-${index}`;
    const seeds = daemons.map((one) =>
      (one.options.settings["listen"] as Record<string, string>)["control"] ??
        ""
    );
    const daemon = new DaemonProcess({
      name,
      program: options.program,
      settingsPath: join(options.folder, `${name}.json`),
      settings: await site.createSettings(name, seeds),
    });
    daemon.start();
    daemons.push(daemon);
  }
  return daemons;
}
