import type { RandomSource } from "kelpspar-shared";
import type { DaemonProcess } from "./daemon_process.ts";

/** Draws some of the daemons: a share that is drawn too. */
export function drawDaemons(
  { daemons, random }: {
    readonly daemons: readonly DaemonProcess[];
    readonly random: RandomSource;
  },
): readonly DaemonProcess[] {
  const share = random.next();
  return daemons.filter(() => random.next() < share);
}
