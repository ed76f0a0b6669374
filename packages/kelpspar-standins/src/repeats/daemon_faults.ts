import type { RandomSource } from "kelpspar-shared";
import type { DaemonProcess } from "../wire/daemon_process.ts";
import type { PartitionMode } from "../wire/network_partition.ts";
import type { DaemonFault } from "./repeat_situation.ts";

/** One step of a series of faults; `number` counts from 0. */
type FaultStep = (
  daemons: readonly DaemonProcess[],
  options: { readonly number: number; readonly random: RandomSource },
) => void;

const PARTITION_MODES: readonly PartitionMode[] = [
  "silent",
  "reset",
  "refused",
];
const PAUSE_MILLISECONDS = 3_500;
const STOPS_PER_KILL = 3;
/** Daemons that run at first in a fleet that grows. */
export const FIRST_DAEMONS = 2;

/** Steps by the name of the series. */
export const FAULT_STEPS: Readonly<Record<DaemonFault, FaultStep>> = {
  none: () => {},
  kill_all: (daemons) => daemons.forEach((daemon) => restart(daemon)),
  stop_in_turn: (daemons, { number }) =>
    restart(daemons[number % daemons.length], "SIGTERM"),
  stop_and_kill_in_turn: (daemons, { number }) => {
    restart(daemons[number % daemons.length], "SIGTERM");
    if (number % STOPS_PER_KILL > 0) return;
    const opposite = number + daemons.length / 2;
    restart(daemons[Math.floor(opposite) % daemons.length]);
  },
  pause_in_turn: (daemons, { number }) =>
    daemons.forEach((daemon, index) => {
      const turn = (index + number * FIRST_DAEMONS) % daemons.length;
      if (turn >= FIRST_DAEMONS) pause(daemon);
    }),
  grow: (daemons, { number }) => daemons[FIRST_DAEMONS + number]?.start(),
  partition_in_turn: (daemons, { number }) =>
    daemons.forEach((daemon, index) => {
      const mode = PARTITION_MODES[number % PARTITION_MODES.length];
      daemon.partition((index + number) % 2 === 0 ? mode : undefined);
    }),
  drawn: (daemons, { random }) => {
    const steps = [restart, restartGracefully, pause];
    const step = steps[random.nextInteger(steps.length)] ?? pause;
    const share = random.next();
    for (const daemon of daemons) if (random.next() < share) step(daemon);
  },
};

function restartGracefully(daemon: DaemonProcess): void {
  restart(daemon, "SIGTERM");
}

function restart(
  daemon: DaemonProcess | undefined,
  signal: "SIGKILL" | "SIGTERM" = "SIGKILL",
): void {
  // A paused process doesn't handle SIGTERM until it continues.
  daemon?.signal("SIGCONT");
  daemon?.signal(signal);
  void daemon?.restartAfterExit();
}

function pause(daemon: DaemonProcess): void {
  daemon.signal("SIGSTOP");
  setTimeout(() => daemon.signal("SIGCONT"), PAUSE_MILLISECONDS);
}
