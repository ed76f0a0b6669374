import type { RandomSource } from "kelpspar-shared";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";

/** Fleet size from which the stage coordinator accepts no callers. */
const LARGE_FLEET_DAEMONS = 12;
/** Daemons that end this soon before the last one count as last, ms. */
const LAST_MILLISECONDS = 1_000;
/** Maximum number of addresses returned to callers. */
const MAXIMUM_ADDRESSES = 64;

/** A daemon that leaves. */
export interface LeavingDaemon {
  readonly address: DaemonAddress;
  /** Milliseconds until it ends at the latest. */
  readonly endsIn: number;
}

/** Where callers may connect. */
export interface CallerAddresses {
  /** `address:port`; never empty. */
  readonly addresses: readonly string[];
  /** True if the daemons end soon, so that the answer is soon outdated. */
  readonly isTemporary: boolean;
}

/** Inputs of `chooseCallerAddresses`. */
export interface CallerAddressesOptions {
  readonly self: DaemonAddress;
  /** Whether callers may be routed to this daemon. */
  readonly isReady: boolean;
  /** Other daemons that callers may use. */
  readonly others: readonly DaemonAddress[];
  /** Daemons that leave, this one among them if it does. */
  readonly leaving: readonly LeavingDaemon[];
  /** Name of the stage coordinator. */
  readonly coordinator: string | undefined;
  /** Whether a daemon reaches no endpoint. */
  readonly isIsolated: (daemonId: string) => boolean;
  readonly random: RandomSource;
}

/**
 * Chooses the addresses at which callers may connect. If all daemons leave,
 * these are the ones that end last.
 */
export function chooseCallerAddresses(
  { self, isReady, others, leaving, coordinator, isIsolated, random }:
    CallerAddressesOptions,
): CallerAddresses {
  const serving = isReady ? [self, ...others] : others;
  const isTemporary = serving.length === 0 && leaving.length > 0;
  const usable = isTemporary ? lastToEnd(leaving) : serving;
  const all = withoutIsolated(usable.length > 0 ? usable : [self], isIsolated);
  // In a large fleet the stage coordinator accepts no callers: their streams
  // would wait behind its calls.
  const busy = all.length >= LARGE_FLEET_DAEMONS ? coordinator : undefined;
  const available = all.filter((address) => address.daemonId !== busy);
  // Rotated at random, so that each daemon is listed in some answers even if
  // the fleet exceeds the maximum of an answer.
  const first = random.nextInteger(Math.max(1, available.length));
  const addresses = [...available.slice(first), ...available.slice(0, first)]
    .slice(0, MAXIMUM_ADDRESSES)
    .map(({ front }) => front);
  return { addresses, isTemporary };
}

/**
 * Chooses at most half of the daemons: the others run out of requests, end early
 * and start again before the last ones end.
 */
function lastToEnd(
  leaving: readonly LeavingDaemon[],
): readonly DaemonAddress[] {
  const last = Math.max(...leaving.map(({ endsIn }) => endsIn));
  const isLast = ({ endsIn }: LeavingDaemon): boolean =>
    endsIn >= last - LAST_MILLISECONDS;
  return leaving
    .filter(isLast)
    .toSorted((left, right) =>
      left.address.daemonId < right.address.daemonId ? 1 : -1
    )
    .slice(0, Math.ceil(leaving.length / 2))
    .map(({ address }) => address);
}

/**
 * Leaves out isolated daemons, which relay their requests, unless they are the
 * majority: the rest would have to take all connections as well.
 */
function withoutIsolated(
  addresses: readonly DaemonAddress[],
  isIsolated: (daemonId: string) => boolean,
): readonly DaemonAddress[] {
  const connected = addresses.filter(({ daemonId }) => !isIsolated(daemonId));
  return connected.length * 2 >= addresses.length ? connected : addresses;
}
