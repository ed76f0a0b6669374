import type { RandomSource, TimerService } from "kelpspar-shared";
import type { LoopbackProxy } from "../wire/loopback_proxy.ts";
import type { WireSite } from "../wire/wire_site.ts";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import { pickRandom } from "./pick_random.ts";

/** The components that faults are injected into. */
export interface SoakTargets {
  readonly site: WireSite;
  readonly daemons: readonly DaemonProcess[];
  readonly proxies: readonly LoopbackProxy[];
  readonly random: RandomSource;
  readonly timer: TimerService;
}

/** Injects one fault, which may end later. Returns a description of it. */
export type SoakFault = (targets: SoakTargets) => string;

const RUNNER_FAULTS = [
  "full",
  "answer_lost",
  "cut",
  "cut_new",
  "ended_midway",
  "mute",
  "foreign",
  "extra",
  "unframed_reset",
  "failing",
] as const;
const STREAM_FRAMINGS = ["chunked", "close_delimited"] as const;
const STREAM_LINE_ENDS = ["\n", "\r\n", "\r"] as const;
const STAGE_FAULTS = ["mute", "slow", "no_room", "gone"] as const;
const STORE_FAULTS = ["busy", "reset", "silent"] as const;
/** Limits in requests per second; the last one can't be parsed. */
const LIMITS = ["0.5", "1", "3", "few"] as const;
/**
 * A limit lasts this time or up to twice as long. It must be longer than 3 s,
 * because the check of a limit starts 3 s after its change.
 */
const MINIMUM_LIMIT_MILLISECONDS = 7_000;
const MAXIMUM_FAULT_MILLISECONDS = 2_000;
/** Maximum age of the backup that a store is restored from. */
const MAXIMUM_BACKUP_AGE_MILLISECONDS = 5_000;
/** Maximum time until lost rows are rewritten after a restore. */
const MAXIMUM_REWRITE_DELAY_MILLISECONDS = 1_200;
const CONNECTION_DELAY_MILLISECONDS = 120;
const PARTITION_MODES = ["silent", "reset", "refused"] as const;
/** A partition lasts this time or up to twice as long. */
const MINIMUM_PARTITION_MILLISECONDS = 2_500;

/** All faults by name. */
export const SOAK_FAULTS = {
  kill: (targets) => {
    const daemon = pickRandom(targets.daemons, targets.random);
    daemon.signal("SIGKILL");
    void daemon.restartAfterExit();
    return daemon.options.name;
  },
  stop: (targets) => {
    const daemon = pickRandom(targets.daemons, targets.random);
    // A paused process doesn't handle SIGTERM until it continues.
    daemon.signal("SIGCONT");
    daemon.signal("SIGTERM");
    void daemon.restartAfterExit();
    return daemon.options.name;
  },
  pause: (targets) => {
    const daemon = pickRandom(targets.daemons, targets.random);
    daemon.signal("SIGSTOP");
    later(targets, () => daemon.signal("SIGCONT"));
    return daemon.options.name;
  },
  reload: (targets) => {
    const daemon = pickRandom(targets.daemons, targets.random);
    daemon.signal("SIGHUP");
    return daemon.options.name;
  },
  runner: (targets) => {
    const { site, random } = targets;
    const runner = pickRandom([...site.plain, ...site.models], random);
    runner.fault = pickRandom(RUNNER_FAULTS, random);
    later(targets, () => runner.fault = "none");
    return runner.fault;
  },
  framing: ({ site, random }) => {
    const runner = pickRandom(site.models, random);
    runner.streamFraming = pickRandom(STREAM_FRAMINGS, random);
    runner.streamLineEnd = pickRandom(STREAM_LINE_ENDS, random);
    return runner.streamFraming;
  },
  stage: (targets) => {
    const stage = pickRandom(targets.site.stages, targets.random);
    stage.fault = pickRandom(STAGE_FAULTS, targets.random);
    later(targets, () => stage.fault = "none");
    return stage.fault;
  },
  limit: (targets) => {
    const { site, random, timer } = targets;
    const { limit } = pickRandom(
      [...site.plain, ...site.models, ...site.stages],
      random,
    );
    limit.text = pickRandom(LIMITS, random);
    timer.registerTimeout(
      () => limit.text = undefined,
      (1 + random.next()) * MINIMUM_LIMIT_MILLISECONDS,
    );
    return limit.text;
  },
  store: (targets) => {
    const { store } = targets.site;
    store.fault = pickRandom(STORE_FAULTS, targets.random);
    later(targets, () => store.fault = "none");
    return store.fault;
  },
  drill: (targets) => {
    const { site, random, timer } = targets;
    const lost = random.next() * MAXIMUM_BACKUP_AGE_MILLISECONDS;
    site.store.fault = pickRandom(STORE_FAULTS, random);
    later(targets, () => {
      site.store.restoreBackup(lost);
      site.store.fault = "none";
      timer.registerTimeout(
        () => site.rewriteLostRows(),
        random.next() * MAXIMUM_REWRITE_DELAY_MILLISECONDS,
      );
    });
    return `store, from a copy of ${Math.round(lost)} ms before`;
  },
  compact: ({ site }) => {
    site.store.compact();
    return "history";
  },
  publish: ({ site }) => {
    site.publish();
    return "configuration";
  },
  reset: (targets) => {
    pickRandom(targets.proxies, targets.random).reset();
    return "connections";
  },
  silence: (targets) => {
    pickRandom(targets.proxies, targets.random).silence();
    return "connections";
  },
  oneWay: (targets) => {
    pickRandom(targets.proxies, targets.random).blockResponses();
    return "connections";
  },
  delay: (targets) => {
    const proxy = pickRandom(targets.proxies, targets.random);
    proxy.delayMilliseconds = CONNECTION_DELAY_MILLISECONDS;
    later(targets, () => proxy.delayMilliseconds = 0);
    return "connections";
  },
  // One daemon always reaches the endpoints.
  partition: ({ daemons, random, timer }) => {
    const connected = daemons.filter(({ isPartitioned }) => !isPartitioned);
    if (connected.length < 2) return "none";
    const daemon = pickRandom(connected, random);
    const mode = pickRandom(PARTITION_MODES, random);
    daemon.partition(mode);
    timer.registerTimeout(
      () => daemon.partition(undefined),
      (1 + random.next()) * MINIMUM_PARTITION_MILLISECONDS,
    );
    return `${daemon.options.name} ${mode}`;
  },
} as const satisfies Readonly<Record<string, SoakFault>>;

/** The name of a fault. */
export type SoakFaultName = keyof typeof SOAK_FAULTS;

/** The names of all faults. */
export const SOAK_FAULT_NAMES = Object.keys(
  SOAK_FAULTS,
) as readonly SoakFaultName[];

function later(targets: SoakTargets, end: () => void): void {
  const milliseconds = targets.random.next() * MAXIMUM_FAULT_MILLISECONDS;
  targets.timer.registerTimeout(end, milliseconds);
}
