import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import { RendezvousNodes } from "kelpspar-decisions/routing";
import { rankByCores } from "../fleet/rank_by_cores.ts";

/** A daemon that may read the store's tables on behalf of others. */
export interface ReaderCandidate {
  readonly address: DaemonAddress;
  /** False when its endpoint list is stale: the store rejects its calls. */
  readonly isStoreFresh: boolean;
}

/** Least time between two polls of the tables. */
export interface PollIntervals {
  /** Of a daemon that reads only for itself, milliseconds. */
  readonly directMilliseconds: number;
  /** Of a reader, which serves followers too, milliseconds. */
  readonly readerMilliseconds: number;
}

/** Inputs of `planReading`. */
export interface PlanReadingOptions {
  readonly self: DaemonAddress;
  readonly others: readonly ReaderCandidate[];
  /** Undefined where tables can't be relayed in time. */
  readonly intervals: PollIntervals | undefined;
}

/** How a daemon keeps its copies of the store's tables up to date. */
export interface ReadingPlan {
  /** Some daemons read for all; otherwise each reads for itself. */
  readonly isShared: boolean;
  /** This daemon reads the tables from the store. */
  readonly isReader: boolean;
  /** Daemons that this one may follow, best first. */
  readonly sources: readonly DaemonAddress[];
}

/** Minimum readers of a fleet; tolerates the loss of one. */
const MINIMUM_READERS = 8;
/** Minimum readers of an availability zone: one and a spare. */
const MINIMUM_READERS_PER_ZONE = 2;
/** Sources that a daemon may follow; if all fail it reads for itself. */
const MAXIMUM_SOURCES = 6;
const READERS_KEY = "tables";

/**
 * Decides which daemons read the store's tables. Deterministic: daemons with
 * the same membership view pick the same readers.
 *
 * If hundreds of daemons each poll all tables, the store becomes the
 * bottleneck. With a few readers per zone the number of calls doesn't depend
 * on the size of the fleet. Readers poll faster, because a change takes one
 * more hop to reach followers; in a small fleet that costs more than it saves.
 */
export function planReading(options: PlanReadingOptions): ReadingPlan {
  const { self, others, intervals } = options;
  const candidates = [{ address: self, isStoreFresh: true }, ...others];
  const zones = [
    ...new Set(candidates.map((candidate) => candidate.address.zone)),
  ];
  const count = Math.max(
    MINIMUM_READERS_PER_ZONE,
    Math.ceil(MINIMUM_READERS / zones.length),
  );
  const readersOf = (zone: string): readonly DaemonAddress[] =>
    rankReaders(
      candidates.filter((candidate) => candidate.address.zone === zone),
    )
      .slice(0, count);
  const readers = zones.flatMap(readersOf).length;
  const isShared = intervals !== undefined &&
    readers / intervals.readerMilliseconds <
      candidates.length / intervals.directMilliseconds;
  if (!isShared) return { isShared, isReader: true, sources: [] };
  const own = readersOf(self.zone);
  const isReader = own.some((reader) => reader.daemonId === self.daemonId);
  const remoteReaders = zones.filter((zone) => zone !== self.zone).flatMap(
    readersOf,
  );
  const sources = [
    ...spread(
      self,
      own.filter((reader) => reader.daemonId !== self.daemonId),
    ),
    ...spread(self, remoteReaders),
  ];
  return { isShared, isReader, sources: sources.slice(0, MAXIMUM_SOURCES) };
}

/** Best first: those the store answers come first, then by processor share. */
function rankReaders(
  candidates: readonly ReaderCandidate[],
): readonly DaemonAddress[] {
  const fresh = candidates.filter((candidate) => candidate.isStoreFresh);
  const stale = candidates.filter((candidate) => !candidate.isStoreFresh);
  return [fresh, stale].flatMap((group) => {
    const addresses = group.map((candidate) => candidate.address);
    return addressesInOrder(rankByCores(READERS_KEY, addresses), addresses);
  });
}

/** In a different order for each daemon, which balances the followers. */
function spread(
  self: DaemonAddress,
  readers: readonly DaemonAddress[],
): readonly DaemonAddress[] {
  const ids = readers.map((reader) => reader.daemonId);
  const best = new RendezvousNodes(ids).best(self.daemonId, ids.length);
  return addressesInOrder(best, readers);
}

function addressesInOrder(
  ids: readonly string[],
  addresses: readonly DaemonAddress[],
): readonly DaemonAddress[] {
  const byId = new Map(addresses.map((address) => [address.daemonId, address]));
  return ids.flatMap((id) => byId.get(id) ?? []);
}
