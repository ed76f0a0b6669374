import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { Fleet } from "../fleet/fleet.ts";
import type { PeerAddress, PeerClient } from "../peers/peer_client.ts";
import type { ActorOptions } from "./actor_options.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { spawnActor } from "./spawn_actor.ts";

const RECENT_EXCHANGE_SHARE = 0.6;
const MAXIMUM_CAUSE_DEPTH = 6;

/** Dependencies of the fleet actor. */
export interface FleetActorOptions extends ActorOptions {
  readonly fleet: Fleet;
  readonly peers: PeerClient;
  readonly seeds: readonly PeerAddress[];
  readonly digestMilliseconds: number;
  /** Offers a configuration fetched from a peer. */
  readonly offer: (row: ConfigurationRow) => void;
  readonly revision: () => number;
  /** Notes a newer revision that a peer reports as active. */
  readonly noteAcceptedRevision: (revision: number, prover: string) => void;
}

/** A running fleet actor. */
export interface FleetActor {
  /**
   * Sends the digest to every peer at once; resolves when each has answered or
   * failed.
   */
  readonly announce: () => Promise<void>;
  readonly stop: () => void;
}

type FleetCommand =
  | { readonly type: "exchange" }
  | {
    readonly type: "fetch";
    readonly peer: PeerAddress;
    readonly revision: number;
  };

/**
 * Exchanges digests with the peers and fetches newer configurations from them,
 * so that an outage of the store does not delay an accepted change.
 */
export function startFleetActor(options: FleetActorOptions): FleetActor {
  const { fleet, peers } = options;
  const exchangeWith = async (peer: PeerAddress): Promise<void> => {
    try {
      const answer = await peers.exchange(peer, fleet.digest);
      fleet.receiveDigest(answer);
      const { revision, daemonId } = answer.member;
      if (revision > options.revision()) {
        options.noteAcceptedRevision(revision, daemonId);
        send({ type: "fetch", peer, revision });
      }
    } catch (thrown) {
      // Membership detects silent peers, so a failed exchange is not logged.
      if (isConnectionRefused(thrown)) fleet.refused(peer);
    }
  };
  const exchangeWithAll = async (): Promise<void> => {
    fleet.checkSilence();
    fleet.discardDigest();
    const targets = fleet.targets();
    const peerAddresses = targets.length > 0 ? targets : options.seeds;
    await Promise.all(peerAddresses.map(exchangeWith));
  };
  const exchangeWithStalePeers = async (): Promise<void> => {
    fleet.checkSilence();
    fleet.discardDigest();
    const targets = fleet.targets();
    if (targets.length === 0) return await exchangeWithAll();
    // An exchange goes both ways, so a peer that has just sent its digest
    // already has this daemon's.
    const limit = options.digestMilliseconds * RECENT_EXCHANGE_SHARE;
    const stalePeers = targets.filter((member) =>
      (member.silenceMilliseconds ?? Number.POSITIVE_INFINITY) > limit
    );
    await Promise.all(stalePeers.map(exchangeWith));
  };
  const send = spawnActor<null, FleetCommand>(options.system, {
    name: "fleet",
    initialState: null,
    handlers: {
      exchange: async () => {
        await exchangeWithStalePeers();
        return null;
      },
      fetch: async (_state, { peer, revision }) => {
        // Every peer reports a new revision; fetching it from one is enough.
        if (options.revision() >= revision) return null;
        const row = await peers.configuration(peer);
        if (row !== null) options.offer(row);
        return null;
      },
    },
    onError: (name, error) =>
      options.log.warn(`${name} actor failed`, errorDetails(error)),
  });
  send({ type: "exchange" });
  const stop = registerJitteredInterval(() => send({ type: "exchange" }), {
    timer: options.timer,
    random: options.random,
    milliseconds: options.digestMilliseconds,
  });
  return { announce: exchangeWithAll, stop };
}

/** True when the peer's VM refused the connection: no process listens. */
function isConnectionRefused(thrown: unknown): boolean {
  let cause = thrown;
  for (let depth = 0; depth < MAXIMUM_CAUSE_DEPTH; depth++) {
    if (!(cause instanceof Error)) return false;
    if ((cause as { readonly code?: unknown }).code === "ECONNREFUSED") {
      return true;
    }
    cause = cause.cause;
  }
  return false;
}
