import type { ConfigurationRow } from "../configuration/configuration_row.ts";
import type { Fleet } from "../fleet/fleet.ts";
import type { PeerAddress, PeerClient } from "../peers/peer_client.ts";
import type { RoleOptions } from "./actor_options.ts";
import { errorDetails } from "../log/daemon_log.ts";
import { registerJitteredInterval } from "./register_jittered_interval.ts";
import { spawnRole } from "./spawn_actor.ts";

const HEARD_SHARE = 0.6;
const MOST_CAUSES = 6;

/** What the role that exchanges digests works on. */
export interface FleetRoleOptions extends RoleOptions {
  readonly fleet: Fleet;
  readonly peers: PeerClient;
  readonly seeds: readonly PeerAddress[];
  readonly digestMilliseconds: number;
  /** Takes a configuration that a peer has. */
  readonly offer: (row: ConfigurationRow) => void;
  readonly revision: () => number;
  /** Takes proof that a revision is in force somewhere. */
  readonly noteProof: (revision: number, prover: string) => void;
}

/** A running role. */
export interface FleetRole {
  /** Tells every peer at once; resolves when each was told or is silent. */
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
 * Exchanges digests with the peers, and fetches from them a configuration
 * that is newer than the own, so that an outage of the store does not hold an
 * accepted change up.
 */
export function startFleetRole(options: FleetRoleOptions): FleetRole {
  const { fleet, peers } = options;
  const exchangeWith = async (peer: PeerAddress): Promise<void> => {
    try {
      const answer = await peers.exchange(peer, fleet.digest);
      fleet.heard(answer);
      const { revision, daemonId } = answer.member;
      if (revision > options.revision()) {
        options.noteProof(revision, daemonId);
        send({ type: "fetch", peer, revision });
      }
    } catch (thrown) {
      // Silence is what the membership judges; it needs no line in the log.
      if (wasRefused(thrown)) fleet.refused(peer);
    }
  };
  const exchangeWithAll = async (): Promise<void> => {
    fleet.sweep();
    fleet.renewDigest();
    const targets = fleet.targets();
    const known = targets.length > 0 ? targets : options.seeds;
    await Promise.all(known.map(exchangeWith));
  };
  const exchangeWithQuiet = async (): Promise<void> => {
    fleet.sweep();
    fleet.renewDigest();
    const targets = fleet.targets();
    if (targets.length === 0) return await exchangeWithAll();
    // An exchange goes both ways: a peer that asked a moment ago has this
    // daemon's digest already.
    const limit = options.digestMilliseconds * HEARD_SHARE;
    const quiet = targets.filter((one) =>
      (one.silenceMilliseconds ?? Number.POSITIVE_INFINITY) > limit
    );
    await Promise.all(quiet.map(exchangeWith));
  };
  const send = spawnRole<null, FleetCommand>(options.system, {
    name: "fleet",
    initialState: null,
    handlers: {
      exchange: async () => {
        await exchangeWithQuiet();
        return null;
      },
      fetch: async (_state, { peer, revision }) => {
        // Every peer proves a new revision; one of them is asked.
        if (options.revision() >= revision) return null;
        const row = await peers.configuration(peer);
        if (row !== null) options.offer(row);
        return null;
      },
    },
    onError: (name, error) =>
      options.log.warn(`Role ${name} failed`, errorDetails(error)),
  });
  send({ type: "exchange" });
  const stop = registerJitteredInterval(() => send({ type: "exchange" }), {
    timer: options.timer,
    random: options.random,
    milliseconds: options.digestMilliseconds,
  });
  return { announce: exchangeWithAll, stop };
}

/** True when the peer's VM answered that nothing listens there. */
function wasRefused(thrown: unknown): boolean {
  let cause = thrown;
  for (let depth = 0; depth < MOST_CAUSES; depth++) {
    if (!(cause instanceof Error)) return false;
    if ((cause as { readonly code?: unknown }).code === "ECONNREFUSED") {
      return true;
    }
    cause = cause.cause;
  }
  return false;
}
