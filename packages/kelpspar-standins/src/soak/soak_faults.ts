import type { RandomSource, TimerService } from "kelpspar-shared";
import type { LoopbackProxy } from "../wire/loopback_proxy.ts";
import type { WireSite } from "../wire/wire_site.ts";
import type { DaemonProcess } from "../wire/daemon_process.ts";

/** What faults strike. */
export interface SoakTargets {
  readonly site: WireSite;
  readonly daemons: readonly DaemonProcess[];
  readonly proxies: readonly LoopbackProxy[];
  readonly random: RandomSource;
  readonly timer: TimerService;
}

/** Strikes once; its end may come later. Gives what it did. */
export type SoakFault = (targets: SoakTargets) => string;

const RUNNER_FAULTS = [
  "full",
  "answer_lost",
  "cut",
  "mute",
  "foreign",
  "extra",
  "unframed_reset",
  "failing",
] as const;
const STAGE_FAULTS = ["mute", "slow", "no_room", "gone"] as const;
const STORE_FAULTS = ["busy", "reset", "silent"] as const;
/** Limits in requests a second; the last one can't be read. */
const LIMITS = ["0.5", "1", "3", "few"] as const;
/** A limit stays for once to twice so long: it counts after 3 s only. */
const LIMIT_MILLISECONDS = 7_000;
const LONGEST_FAULT_MILLISECONDS = 2_000;
/** A store comes back from a copy that is at most so old, milliseconds. */
const OLDEST_COPY_MILLISECONDS = 5_000;
/** What was lost is written again within this time, milliseconds. */
const WRITTEN_AGAIN_MILLISECONDS = 1_200;
const DELAY_MILLISECONDS = 120;

/** Every fault by name. */
export const SOAK_FAULTS: Readonly<Record<string, SoakFault>> = {
  kill: (targets) => {
    const daemon = draw(targets.daemons, targets.random);
    daemon.signal("SIGKILL");
    void daemon.startAgain();
    return daemon.options.name;
  },
  stop: (targets) => {
    const daemon = draw(targets.daemons, targets.random);
    // A paused process would not see the signal.
    daemon.signal("SIGCONT");
    daemon.signal("SIGTERM");
    void daemon.startAgain();
    return daemon.options.name;
  },
  pause: (targets) => {
    const daemon = draw(targets.daemons, targets.random);
    daemon.signal("SIGSTOP");
    later(targets, () => daemon.signal("SIGCONT"));
    return daemon.options.name;
  },
  reload: (targets) => {
    const daemon = draw(targets.daemons, targets.random);
    daemon.signal("SIGHUP");
    return daemon.options.name;
  },
  runner: (targets) => {
    const { site, random } = targets;
    const runner = draw([...site.plain, ...site.models], random);
    runner.fault = draw(RUNNER_FAULTS, random);
    later(targets, () => runner.fault = "none");
    return runner.fault;
  },
  stage: (targets) => {
    const stage = draw(targets.site.stages, targets.random);
    stage.fault = draw(STAGE_FAULTS, targets.random);
    later(targets, () => stage.fault = "none");
    return stage.fault;
  },
  limit: (targets) => {
    const { site, random, timer } = targets;
    const { limit } = draw(
      [...site.plain, ...site.models, ...site.stages],
      random,
    );
    limit.text = draw(LIMITS, random);
    timer.registerTimeout(
      () => limit.text = undefined,
      (1 + random.next()) * LIMIT_MILLISECONDS,
    );
    return limit.text;
  },
  store: (targets) => {
    const { store } = targets.site;
    store.fault = draw(STORE_FAULTS, targets.random);
    later(targets, () => store.fault = "none");
    return store.fault;
  },
  drill: (targets) => {
    const { site, random, timer } = targets;
    const lost = random.next() * OLDEST_COPY_MILLISECONDS;
    site.store.fault = draw(STORE_FAULTS, random);
    later(targets, () => {
      site.store.restore(lost);
      site.store.fault = "none";
      timer.registerTimeout(
        () => site.writeAgain(),
        random.next() * WRITTEN_AGAIN_MILLISECONDS,
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
    draw(targets.proxies, targets.random).reset();
    return "connections";
  },
  silence: (targets) => {
    draw(targets.proxies, targets.random).silence();
    return "connections";
  },
  oneWay: (targets) => {
    draw(targets.proxies, targets.random).cutAnswers();
    return "connections";
  },
  delay: (targets) => {
    const proxy = draw(targets.proxies, targets.random);
    proxy.delayMilliseconds = DELAY_MILLISECONDS;
    later(targets, () => proxy.delayMilliseconds = 0);
    return "connections";
  },
};

function later(targets: SoakTargets, end: () => void): void {
  const milliseconds = targets.random.next() * LONGEST_FAULT_MILLISECONDS;
  targets.timer.registerTimeout(end, milliseconds);
}

function draw<Value>(values: readonly Value[], random: RandomSource): Value {
  return values[random.nextInteger(values.length)] as Value;
}
