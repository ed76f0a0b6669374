import type { DaemonAddress } from "../fleet/fleet_digest.ts";
import type { SlackGrant } from "./slack_grant.ts";
import type { SlackLender } from "./slack_lender.ts";

/** Dependencies of a `SlackBorrower`. */
export interface SlackBorrowerOptions {
  readonly daemonId: string;
  /** The daemon that lends to all; undefined if this daemon knows none. */
  readonly lender: () => DaemonAddress | undefined;
  readonly peers: {
    lendRetries(
      peer: string,
      request: { readonly service: string; readonly count: number },
    ): Promise<SlackGrant>;
  };
  /** Lends at this daemon. */
  readonly local: Pick<SlackLender, "lend">;
}

/**
 * Borrows from the fleet's slack. One daemon lends to all, so that few write the
 * ledger; a daemon that doesn't reach it writes the ledger itself.
 */
export class SlackBorrower {
  readonly #options: SlackBorrowerOptions;

  constructor(options: SlackBorrowerOptions) {
    this.#options = options;
  }

  async borrow(service: string, count: number): Promise<SlackGrant> {
    const { daemonId, lender, peers, local } = this.#options;
    const address = lender();
    if (address === undefined || address.daemonId === daemonId) {
      return await local.lend(service, count);
    }
    try {
      return await peers.lendRetries(address.peer, { service, count });
    } catch {
      // An unreachable daemon, or one whose software doesn't lend.
      return await local.lend(service, count);
    }
  }
}
