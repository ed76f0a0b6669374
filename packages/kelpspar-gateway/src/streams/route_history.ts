import type { ActiveConfiguration } from "../configuration/active_configuration.ts";
import type { RouteTable } from "../configuration/route_table.ts";
import type { RecentMembers } from "./recent_members.ts";
import { groupOfRoute, groupOfService } from "./history_group.ts";

/** Services that resumable streams of each route are sent to. */
type RouteServices = ReadonlyMap<string, ReadonlySet<string>>;

/**
 * Remembers the services of routes whose streams may be resumed: a route may
 * have moved to another service since a stream began.
 */
export class RouteHistory {
  readonly #members: RecentMembers;
  readonly #groups = new Set<string>();
  #services: RouteServices = new Map();

  constructor(members: RecentMembers) {
    this.#members = members;
  }

  /** Groups of these routes and their services, now or earlier. */
  get groups(): ReadonlySet<string> {
    return this.#groups;
  }

  /** Follows the configuration; returns the teardown. */
  register(
    configuration: Pick<ActiveConfiguration, "registerListener">,
  ): () => void {
    return configuration.registerListener((table) => this.#update(table));
  }

  #update(table: RouteTable): void {
    const before = this.#services;
    this.#services = resumableRoutes(table);
    for (const [route, services] of this.#services) {
      this.#groups.add(groupOfRoute(route));
      for (const service of services) {
        this.#groups.add(groupOfService(service));
        if (before.get(route)?.has(service) === true) continue;
        this.#members.add(groupOfRoute(route), service);
      }
    }
    for (const [route, services] of before) {
      for (const service of services) {
        if (this.#services.get(route)?.has(service) === true) continue;
        this.#members.remove(groupOfRoute(route), service);
      }
    }
  }
}

function resumableRoutes({ configuration }: RouteTable): RouteServices {
  return new Map(
    configuration.routes
      .filter(({ kind, isResumable }) => kind === "stream" && isResumable)
      .map(({ name, targets }) => [
        name,
        new Set(targets.map(({ service }) => service)),
      ]),
  );
}
