import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { ChainOutcome } from "./chain_outcome.ts";

/** Directs a daemon to a coordinator that it may not have heard of yet. */
export interface ChainRedirect {
  readonly type: "moved";
  readonly coordinator: DaemonAddress;
}

/** Outcome of a chain that another daemon may have run. */
export type PeerChainOutcome = ChainOutcome & {
  /**
   * From the arrival of the request in the other process to its answer; daemons
   * of the previous version don't send it.
   */
  readonly heldMilliseconds?: number | undefined;
};

/** Answer of a daemon that was asked to run a chain for another one. */
export type PeerChainAnswer = PeerChainOutcome | ChainRedirect;
