import type { ChainRun } from "./chain_run.ts";
import type { ServiceDesk } from "./service_desk.ts";

/**
 * What a piece of less urgent work counts for in the wait of more urgent work:
 * it goes behind unless it was begun or is pressed. Counted whole, urgent
 * requests are refused in a burst while those that may wait are on time.
 */
const BEHIND_SHARE = 0.3;

/** What a backlog is worked out from. */
export interface BacklogOptions {
  /** Undefined while the service has had no pieces. */
  readonly desk: Pick<ServiceDesk, "rate" | "slotWait"> | undefined;
  readonly chains: Iterable<ChainRun>;
  /** Of the request for which it is asked. */
  readonly priority: number;
}

/** Pieces a millisecond below which an endpoint counts as one that makes none. */
const LEAST_RATE = 1e-6;

/** Time until all admitted pieces of a service are made, milliseconds. */
export function backlogOf(service: string, options: BacklogOptions): number {
  const { desk, chains, priority } = options;
  if (desk === undefined) return 0;
  let pieces = 0;
  for (const chain of chains) {
    const share = chain.request.priority <= priority ? 1 : BEHIND_SHARE;
    pieces += chain.missingOf(service) * share;
  }
  return Math.max(desk.slotWait(), pieces / Math.max(desk.rate(), LEAST_RATE));
}
