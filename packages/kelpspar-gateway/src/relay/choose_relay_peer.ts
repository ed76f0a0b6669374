import type { RandomSource } from "kelpspar-shared";
import type { DaemonAddress } from "../fleet/fleet_digest.ts";

/** A daemon that reaches endpoints, as far as is known. */
export interface RelayCandidate {
  readonly address: DaemonAddress;
  /** Whether it exits once its open requests have ended. */
  readonly isLeaving: boolean;
}

/** Inputs of `chooseRelayPeer`. */
export interface ChooseRelayPeerOptions {
  readonly candidates: readonly RelayCandidate[];
  /** Names of daemons that were tried for this request. */
  readonly tried: ReadonlySet<string>;
  /** Name of the stage coordinator. */
  readonly coordinator: string | undefined;
  /** Number of requests that this daemon has open at another one. */
  readonly openAt: (daemonId: string) => number;
  readonly random: RandomSource;
}

/**
 * Chooses the daemon that serves a request for this one: the less loaded of two
 * random ones. The coordinator comes after the others, because its processor
 * limits the whole fleet; a daemon that leaves is the last resort.
 */
export function chooseRelayPeer(
  options: ChooseRelayPeerOptions,
): DaemonAddress | undefined {
  const { candidates, tried, coordinator, openAt, random } = options;
  const isCoordinator = ({ address }: RelayCandidate): boolean =>
    address.daemonId === coordinator;
  const untried = candidates.filter(({ address }) =>
    !tried.has(address.daemonId)
  );
  const staying = untried.filter(({ isLeaving }) => !isLeaving);
  const tiers = [
    staying.filter((candidate) => !isCoordinator(candidate)),
    staying,
    untried,
  ];
  const pool = [...tiers.find(({ length }) => length > 0) ?? []];
  const [first] = pool.splice(random.nextInteger(Math.max(1, pool.length)), 1);
  const second = pool[random.nextInteger(Math.max(1, pool.length))];
  if (first === undefined || second === undefined) return first?.address;
  const isSecondFreer =
    openAt(second.address.daemonId) < openAt(first.address.daemonId);
  return isSecondFreer ? second.address : first.address;
}
