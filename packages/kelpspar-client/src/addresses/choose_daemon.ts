import type { DaemonAddress, RandomSource } from "kelpspar-shared";

/** Options of `chooseDaemon`. */
export interface ChooseDaemonOptions {
  /** The caller's zone; other zones are used only if it has no daemon. */
  readonly availabilityZone: string | undefined;
  readonly random: RandomSource;
}

/**
 * Chooses a daemon at random by weight, preferring the caller's availability
 * zone. Returns undefined only if there is no daemon.
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
  const totalWeight = candidates.reduce(
    (total, { weight }) => total + weight,
    0,
  );
  let remaining = random.next() * totalWeight;
  for (const daemon of candidates) {
    remaining -= daemon.weight;
    if (remaining < 0) return daemon;
  }
  return candidates[candidates.length - 1];
}
