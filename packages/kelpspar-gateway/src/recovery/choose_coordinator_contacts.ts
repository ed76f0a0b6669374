/** What a daemon knows of another one that may be the coordinator. */
export type ContactState =
  /** It can run stages, by a recent heartbeat. */
  | "able"
  /** Neither a heartbeat nor a failed call yet. */
  | "unknown"
  /** A call to it failed, or it has no configuration yet or is leaving. */
  | "unable";

/** Inputs of `chooseCoordinatorContacts`. */
export interface CoordinatorContactsOptions {
  /** All known daemons, including this one, in the coordinator's ranking. */
  readonly ranked: readonly string[];
  readonly selfId: string;
  readonly stateOf: (daemonId: string) => ContactState;
  /** Calls at a time. */
  readonly maximum: number;
}

/**
 * Chooses the daemons that a starting daemon contacts to learn which one is the
 * coordinator: the best ranked ones, up to the first that it knows to be able.
 *
 * Load pattern: all daemons start within a second. By gossip rounds alone, up
 * to 20 of 100 daemons take themselves for the coordinator for half a second,
 * and some remain wrong for two. Their stages compete for the slots and room of
 * the same endpoints.
 *
 * Daemons ranked below this one are included until one is able. It was the
 * coordinator for all daemons until this one started, so it can direct them
 * here, and this daemon needs to contact no others. The number of calls of a
 * daemon is the number of daemons that are down and ranked before it, whatever
 * the size of the fleet.
 */
export function chooseCoordinatorContacts(
  options: CoordinatorContactsOptions,
): readonly string[] {
  const { ranked, selfId, stateOf, maximum } = options;
  const others = ranked.filter((id) => id !== selfId);
  const firstAble = others.findIndex((id) => stateOf(id) === "able");
  const ahead = firstAble < 0 ? others : others.slice(0, firstAble);
  return ahead.filter((id) => stateOf(id) === "unknown").slice(0, maximum);
}
