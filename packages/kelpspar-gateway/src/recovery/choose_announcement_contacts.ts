import type { ContactState } from "./choose_coordinator_contacts.ts";

/** Inputs of `chooseAnnouncementContacts`. */
export interface AnnouncementContactsOptions {
  /** All known daemons, including this one, in the coordinator's ranking. */
  readonly ranked: readonly string[];
  readonly selfId: string;
  readonly stateOf: (daemonId: string) => ContactState;
  /** Whether a daemon was heard before it had a configuration. */
  readonly isStarting: (daemonId: string) => boolean;
}

/** Most contacts that may have become able since they were heard. */
const MAXIMUM_STARTING_CONTACTS = 2;

/**
 * Chooses the daemons that a daemon contacts once it has read configuration and
 * endpoints.
 *
 * Load pattern: daemons that start together hear each other before any of them
 * can run stages. Each would consider itself the coordinator once it can, and
 * learn of the others only by the next gossip rounds. Of two daemons that
 * contact each other when they become able, the later one learns of the earlier
 * one and the earlier one of the later one. If this daemon ranks before the
 * best one that is known to be able, that one is contacted as well: it directs
 * the others here.
 */
export function chooseAnnouncementContacts(
  options: AnnouncementContactsOptions,
): readonly string[] {
  const { ranked, selfId, stateOf, isStarting } = options;
  const able = ranked.find((id) => id !== selfId && stateOf(id) === "able");
  const end = able === undefined ? ranked.length : ranked.indexOf(able);
  const starting = ranked.slice(0, end).filter((id) =>
    id !== selfId && isStarting(id)
  )
    .slice(0, MAXIMUM_STARTING_CONTACTS);
  const isBest = ranked.indexOf(selfId) < end;
  return able !== undefined && isBest ? [...starting, able] : starting;
}
