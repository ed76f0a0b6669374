import type { ContactState } from "./choose_coordinator_contacts.ts";

/** What a daemon does with a chain that another one sent it. */
export type ChainDestination = "run_here" | "redirect";

/** Inputs of `decideRedirect`. */
export interface DecideRedirectOptions {
  readonly selfId: string;
  /** The coordinator in this daemon's view. */
  readonly coordinatorId: string | undefined;
  /** False for daemons of earlier versions and once redirected. */
  readonly mayRedirect: boolean;
}

/**
 * Decides whether a chain runs here or its sender is told of the coordinator.
 *
 * Load pattern: daemons start one after the other, and each better ranked one
 * takes over. It announces itself to the daemon that was the coordinator until
 * then; the others would send their chains there until gossip reaches them, and
 * both would fill the endpoints' room. A chain is redirected at most once, so
 * daemons with different views can't send it back and forth.
 */
export function decideRedirect(
  options: DecideRedirectOptions,
): ChainDestination {
  const { selfId, coordinatorId, mayRedirect } = options;
  const isHere = coordinatorId === undefined || coordinatorId === selfId;
  return mayRedirect && !isHere ? "redirect" : "run_here";
}

/**
 * Decides whether a chain goes to the coordinator that another daemon named.
 * Not if a call to it failed or it is leaving, as far as is known here: each
 * chain would wait for a connection to a daemon that only the others reach.
 */
export function followsRedirect(
  options: { readonly state: ContactState; readonly isStarting: boolean },
): boolean {
  return options.state !== "unable" || options.isStarting;
}
