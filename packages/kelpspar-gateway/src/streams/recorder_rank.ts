import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";

/** Daemons that write begun streams to the store, in a small fleet. */
const MINIMUM_RECORDERS = 8;
/** Daemons for each of which there is a recorder, in a large fleet. */
const DAEMONS_PER_RECORDER = 10;

const RANKING_KEY = "stream recorders";

/** Options of `rankRecorders`. */
export interface RankRecordersOptions {
  readonly self: DaemonAddress;
  /** All other known daemons, reachable or not. */
  readonly others: readonly DaemonAddress[];
}

/** Daemons that write to the store for all, best first. */
export function rankRecorders(
  { self, others }: RankRecordersOptions,
): readonly DaemonAddress[] {
  const byId = new Map(
    [self, ...others].map((daemon) => [daemon.daemonId, daemon]),
  );
  const count = Math.max(
    MINIMUM_RECORDERS,
    Math.ceil(byId.size / DAEMONS_PER_RECORDER),
  );
  return new RendezvousNodes(byId.keys()).best(RANKING_KEY, count)
    .flatMap((id) => byId.get(id) ?? []);
}
