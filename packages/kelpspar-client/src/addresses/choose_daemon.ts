import type { DaemonAddress, RandomSource } from "kelpspar-shared";

/** How to choose among daemons. */
export interface ChooseDaemonOptions {
  /** The caller's own; other zones serve only when it has no daemon. */
  readonly availabilityZone: string | undefined;
  readonly random: RandomSource;
}

/**
 * Chooses by weight, in the caller's own availability zone if it can.
 * Undefined only when there is no daemon.
 */
export function chooseDaemon(
  daemons: readonly DaemonAddress[],
  options: ChooseDaemonOptions,
): DaemonAddress | undefined {
  const { availabilityZone, random } = options;
  const weighted = daemons.filter((daemon) => daemon.weight > 0);
  const own = weighted.filter((daemon) =>
    daemon.availabilityZone === availabilityZone
  );
  const candidates = own.length > 0 ? own : weighted;
  if (candidates.length === 0) {
    return daemons[random.nextInteger(Math.max(1, daemons.length))];
  }
  const sum = candidates.reduce((total, { weight }) => total + weight, 0);
  let left = random.next() * sum;
  for (const daemon of candidates) {
    left -= daemon.weight;
    if (left < 0) return daemon;
  }
  return candidates[candidates.length - 1];
}
