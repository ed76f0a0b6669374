import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";
import { rankByCores } from "../fleet/rank_by_cores.ts";

/** A daemon that may read the store's tables for others. */
export interface ReaderCandidate {
  readonly address: DaemonAddress;
  /** False when its own list of endpoints is old: the store turns it away. */
  readonly isStoreFresh: boolean;
}

/** How often tables are read. */
export interface ReadingPaces {
  /** Between two calls of a daemon that reads for itself, milliseconds. */
  readonly ownMilliseconds: number;
  /** Between two calls of one that reads for others too, milliseconds. */
  readonly readerMilliseconds: number;
}

/** Inputs of `planReading`. */
export interface PlanReadingOptions {
  readonly self: DaemonAddress;
  readonly others: readonly ReaderCandidate[];
  /** Undefined where tables can't be passed on in time. */
  readonly paces: ReadingPaces | undefined;
}

/** What a daemon does to know what the store's tables hold. */
export interface ReadingPlan {
  /** Some read for all; otherwise each reads for itself. */
  readonly isShared: boolean;
  /** It reads them itself, for others too. */
  readonly isReader: boolean;
  /** Others that it may follow, best first. */
  readonly sources: readonly DaemonAddress[];
}

/** Least readers of a fleet: it tolerates the loss of one. */
const LEAST_READERS = 8;
/** Least readers of an availability zone: one, and one beside it. */
const LEAST_READERS_OF_ZONE = 2;
/** Others that a daemon may follow; beyond them it reads for itself. */
const MOST_SOURCES = 6;
const READERS_KEY = "tables";

/**
 * Decides which daemons read the store's tables. Deterministic: daemons with
 * the same membership view pick the same readers.
 *
 * Load: hundreds of daemons that each poll all tables make the store the
 * bottleneck. A few readers in each zone make as many calls whatever the size
 * of the fleet. Readers poll faster, because a change takes one more hop to
 * reach followers; in a small fleet that costs more than it saves.
 */
export function planReading(options: PlanReadingOptions): ReadingPlan {
  const { self, others, paces } = options;
  const candidates = [{ address: self, isStoreFresh: true }, ...others];
  const zones = [...new Set(candidates.map((one) => one.address.zone))];
  const count = Math.max(
    LEAST_READERS_OF_ZONE,
    Math.ceil(LEAST_READERS / zones.length),
  );
  const readersOf = (zone: string): readonly DaemonAddress[] =>
    rankReaders(candidates.filter((one) => one.address.zone === zone))
      .slice(0, count);
  const readers = zones.flatMap(readersOf).length;
  const isShared = paces !== undefined &&
    readers / paces.readerMilliseconds <
      candidates.length / paces.ownMilliseconds;
  if (!isShared) return { isShared, isReader: true, sources: [] };
  const own = readersOf(self.zone);
  const isReader = own.some((one) => one.daemonId === self.daemonId);
  const far = zones.filter((zone) => zone !== self.zone).flatMap(readersOf);
  const sources = [
    ...spread(self, own.filter((one) => one.daemonId !== self.daemonId)),
    ...spread(self, far),
  ];
  return { isShared, isReader, sources: sources.slice(0, MOST_SOURCES) };
}

/** Best first: those that the store answers, then by processor share. */
function rankReaders(
  candidates: readonly ReaderCandidate[],
): readonly DaemonAddress[] {
  const fresh = candidates.filter((one) => one.isStoreFresh);
  const stale = candidates.filter((one) => !one.isStoreFresh);
  return [fresh, stale].flatMap((group) => {
    const addresses = group.map((one) => one.address);
    return inOrder(rankByCores(READERS_KEY, addresses), addresses);
  });
}

/** In an order of this daemon's own, so that readers share the followers. */
function spread(
  self: DaemonAddress,
  readers: readonly DaemonAddress[],
): readonly DaemonAddress[] {
  const ids = readers.map((one) => one.daemonId);
  const best = new RendezvousNodes(ids).best(self.daemonId, ids.length);
  return inOrder(best, readers);
}

function inOrder(
  ids: readonly string[],
  addresses: readonly DaemonAddress[],
): readonly DaemonAddress[] {
  const byId = new Map(addresses.map((one) => [one.daemonId, one]));
  return ids.flatMap((id) => byId.get(id) ?? []);
}
