import type { RandomSource } from "kelpspar-shared";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { RunnerStandIn } from "../wire/runner_stand_in.ts";
import type { StoreFault } from "../wire/store_stand_in.ts";
import type { WireSite } from "../wire/wire_site.ts";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";
import { pickRandom } from "../soak/pick_random.ts";
import { drawDaemons } from "../wire/draw_daemons.ts";

/** What a step may change. */
export interface StepContext {
  readonly site: WireSite;
  readonly daemons: readonly DaemonProcess[];
  readonly random: RandomSource;
  /** Model runners that are neither draining nor without an entry. */
  readonly serving: Set<RunnerStandIn>;
}

/** One step of a drawn series; steps overlap. */
export type LossStep =
  | "kill_all"
  | "kill_some"
  | "stop_some"
  | "hang_up_some"
  | "pause_some"
  | "add_version"
  | "retire_version"
  | "store_outage";

const DOWN_MILLISECONDS = 300;
/** Time from SIGTERM to SIGKILL. */
const GRACE_MILLISECONDS = 3_000;
const MAXIMUM_PAUSE_MILLISECONDS = 3_000;
const MAXIMUM_OUTAGE_MILLISECONDS = 2_500;
const ENDPOINTS_PER_VERSION = 2;
const MAXIMUM_SERVING = 6;
const STORE_FAULTS: readonly StoreFault[] = ["busy", "reset", "silent"];

/** How endpoints of a version stop to serve. */
const RETIREMENTS:
  readonly ((site: WireSite, runner: RunnerStandIn) => void)[] = [
    (site, { id }) => site.drain(id),
    (site, { id }) => site.removeEntry(id),
    (site, runner) => {
      site.removeEntry(runner.id);
      runner.crash();
    },
  ];

/** Steps by name. */
export const LOSS_STEPS: Readonly<
  Record<LossStep, (context: StepContext) => Promise<void> | void>
> = {
  kill_all: async ({ daemons }) => {
    await Promise.all(daemons.map(kill));
  },
  kill_some: async (context) => {
    await Promise.all(drawDaemons(context).map(kill));
  },
  stop_some: async (context) => {
    await Promise.all(drawDaemons(context).map(stop));
  },
  hang_up_some: (context) => {
    for (const daemon of drawDaemons(context)) daemon.signal("SIGHUP");
  },
  pause_some: async (context) => {
    const daemons = drawDaemons(context);
    const milliseconds = context.random.next() * MAXIMUM_PAUSE_MILLISECONDS;
    for (const daemon of daemons) daemon.signal("SIGSTOP");
    await setTimeoutPromise(milliseconds);
    for (const daemon of daemons) daemon.signal("SIGCONT");
  },
  add_version: async ({ site, serving }) => {
    if (serving.size + ENDPOINTS_PER_VERSION > MAXIMUM_SERVING) return;
    const version = `v${site.models.length}`;
    for (let number = 0; number < ENDPOINTS_PER_VERSION; number++) {
      serving.add(await site.addModel(version));
    }
  },
  retire_version: ({ site, serving, random }) => {
    const versions = [...new Set([...serving].map(({ version }) => version))];
    if (versions.length < 2) return;
    const retired = pickRandom(versions, random);
    const retire = pickRandom(RETIREMENTS, random);
    for (const runner of [...serving]) {
      if (runner.version !== retired) continue;
      serving.delete(runner);
      retire(site, runner);
    }
  },
  store_outage: async ({ site, random }) => {
    site.store.fault = pickRandom(STORE_FAULTS, random);
    await setTimeoutPromise(random.next() * MAXIMUM_OUTAGE_MILLISECONDS);
    site.store.fault = "none";
  },
};

async function kill(daemon: DaemonProcess): Promise<void> {
  const { processId, exited } = daemon;
  daemon.signal("SIGKILL");
  await exited;
  await restart(daemon, processId);
}

async function stop(daemon: DaemonProcess): Promise<void> {
  const { processId, exited } = daemon;
  // A paused process doesn't handle SIGTERM until it continues.
  daemon.signal("SIGCONT");
  daemon.signal("SIGTERM");
  const timer = setTimeout(() => {
    if (daemon.processId === processId) daemon.signal("SIGKILL");
  }, GRACE_MILLISECONDS);
  await exited;
  clearTimeout(timer);
  await restart(daemon, processId);
}

/** Starts a daemon again unless another step has done so. */
async function restart(
  daemon: DaemonProcess,
  endedId: number | undefined,
): Promise<void> {
  await setTimeoutPromise(DOWN_MILLISECONDS);
  if (daemon.processId === endedId) await daemon.restartAfterExit();
}
