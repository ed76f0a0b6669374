import type { DaemonProcess } from "../wire/daemon_process.ts";
import { connect } from "node:net";
import { setTimeout as setTimeoutPromise } from "node:timers/promises";

/** Which daemons are killed, and when. */
export type KillSeries =
  | "all"
  | "all_but_one"
  /** Each is killed a while after the one before it serves again. */
  | "one_after_another"
  /** All are killed again a while after they serve again. */
  | "all_twice";

/** Options of a series of kills. */
export interface KillOptions {
  readonly downMilliseconds: number;
  /** Called while killed daemons are down. */
  readonly onDown: () => Promise<void> | void;
}

type Kill = (
  daemons: readonly DaemonProcess[],
  options: KillOptions,
) => Promise<void>;

const AFTER_EACH_MILLISECONDS = 500;
const AFTER_ALL_MILLISECONDS = 1_500;
const POLL_MILLISECONDS = 50;
const MAXIMUM_POLLS = 100;

/** Kills by the name of their series; each resolves once daemons serve again. */
export const KILL_SERIES: Readonly<Record<KillSeries, Kill>> = {
  all: killAll,
  all_but_one: (daemons, options) => killAll(daemons.slice(1), options),
  one_after_another: async (daemons, options) => {
    for (const daemon of daemons) {
      await killAll([daemon], options);
      await setTimeoutPromise(AFTER_EACH_MILLISECONDS);
    }
  },
  all_twice: async (daemons, options) => {
    await killAll(daemons, options);
    await setTimeoutPromise(AFTER_ALL_MILLISECONDS);
    await killAll(daemons, options);
  },
};

async function killAll(
  daemons: readonly DaemonProcess[],
  { downMilliseconds, onDown }: KillOptions,
): Promise<void> {
  for (const daemon of daemons) daemon.signal("SIGKILL");
  await Promise.all(daemons.map(({ exited }) => exited));
  const down = setTimeoutPromise(downMilliseconds);
  await onDown();
  await down;
  await Promise.all(daemons.map((daemon) => daemon.restartAfterExit()));
  await Promise.all(daemons.map(waitUntilServing));
}

/** Waits until a daemon accepts connections of callers, for some seconds. */
async function waitUntilServing({ front }: DaemonProcess): Promise<void> {
  for (let polls = 0; polls < MAXIMUM_POLLS; polls++) {
    if (await accepts(front)) return;
    await setTimeoutPromise(POLL_MILLISECONDS);
  }
}

function accepts(address: string): Promise<boolean> {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    socket.once("error", () => resolve(false));
    socket.once("connect", () => {
      socket.destroy();
      resolve(true);
    });
  });
}
