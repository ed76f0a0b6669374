import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { RecentMembers } from "./recent_members.ts";
import { groupOfService } from "./history_group.ts";
import { softwareOf } from "./software_of.ts";

/** The endpoint list, as far as `registerVersionHistory` uses it. */
export type VersionSource = Pick<
  EndpointRegistry,
  "registerListed" | "registerGone" | "registerLeavingFound"
>;

/** Records the software versions of listed endpoints; returns the teardown. */
export function registerVersionHistory(
  registry: VersionSource,
  members: RecentMembers,
): () => void {
  const teardowns = [
    registry.registerListed((entry) => members.add(...memberOf(entry))),
    registry.registerGone((_id, _cause, entry) =>
      members.remove(...memberOf(entry))
    ),
    registry.registerLeavingFound((entry) =>
      members.addAbsent(...memberOf(entry))
    ),
  ];
  return () => teardowns.forEach((teardown) => teardown());
}

function memberOf(entry: EndpointEntry): readonly [string, string] {
  const { service, version } = softwareOf(entry);
  return [groupOfService(service), version];
}
