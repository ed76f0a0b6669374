import type { RecentMembers } from "./recent_members.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import type { VersionTable } from "./version_table.ts";
import { groupOfRoute, groupOfService } from "./history_group.ts";

/** A route, and the services that it sends requests to now. */
export interface StreamRoute {
  readonly route: string;
  readonly services: readonly string[];
}

/** Dependencies of `SoftwareCandidates`. */
export interface SoftwareCandidatesOptions {
  readonly history: RecentMembers;
  readonly versions: Pick<VersionTable, "wasRead">;
}

/** The software that can have begun a stream of a route. */
export class SoftwareCandidates {
  readonly #options: SoftwareCandidatesOptions;

  constructor(options: SoftwareCandidatesOptions) {
    this.#options = options;
  }

  of(route: StreamRoute): readonly StreamOrigin[] {
    const { history } = this.#options;
    return this.#servicesOf(route).flatMap((service) =>
      history.recent(groupOfService(service))
        .map((version) => ({ service, version }))
    );
  }

  /**
   * True if none is missing: this daemon has a recent list, and had a record of
   * the time before its start or ran all the while.
   */
  isComplete(route: StreamRoute): boolean {
    return this.#options.history.isComplete(this.#groupsOf(route));
  }

  /** The same, also if the store had no record: then there was none before. */
  isCompleteWithoutRecord(route: StreamRoute): boolean {
    return this.isComplete(route) ||
      (this.#options.history.hasRecentList && this.wasRead(route));
  }

  /** True if this daemon read what the store has on record of the route. */
  wasRead(route: StreamRoute): boolean {
    return this.#options.versions.wasRead(this.#groupsOf(route));
  }

  /** Services of the route now, or when a stream began. */
  #servicesOf({ route, services }: StreamRoute): readonly string[] {
    const earlier = this.#options.history.recent(groupOfRoute(route));
    return [...new Set([...services, ...earlier])];
  }

  #groupsOf(route: StreamRoute): readonly string[] {
    return [
      groupOfRoute(route.route),
      ...this.#servicesOf(route).map(groupOfService),
    ];
  }
}
