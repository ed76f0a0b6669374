import type { TimerService } from "kelpspar-shared";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import { softwareOf } from "./software_of.ts";

/** Longer than callers wait for a stream, over all of their attempts. */
export const STREAM_LIFETIME_MILLISECONDS = 60_000;

/** Options of `VersionHistory`. */
export interface VersionHistoryOptions {
  readonly registry: Pick<EndpointRegistry, "registerListed" | "registerGone">;
  readonly timer: TimerService;
  /** Called when a service has a version that it didn't have recently. */
  readonly onNewVersion: (service: string) => void;
}

interface ListedVersion {
  /** Endpoints of this version that are listed. */
  endpoints: number;
  /** When the last of them left, monotonic milliseconds. */
  leftAt: number;
}

/**
 * Software versions of each service that endpoints had within the lifetime of a
 * stream: any of them may have begun a stream that a caller resumes now.
 */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  readonly #services = new Map<string, Map<string, ListedVersion>>();
  readonly #startedAt: number;

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
    this.#startedAt = options.timer.now();
  }

  /** False while this daemon can't know all versions of that time. */
  get isComplete(): boolean {
    const { timer } = this.#options;
    return timer.now() - this.#startedAt >= STREAM_LIFETIME_MILLISECONDS;
  }

  /** Subscribes to the endpoint list; returns the teardown. */
  register(): () => void {
    const { registry } = this.#options;
    const unregister = [
      registry.registerListed((entry) => this.#recordListed(entry)),
      registry.registerGone((_id, _cause, entry) => this.#recordGone(entry)),
    ];
    return () => {
      for (const teardown of unregister) teardown();
    };
  }

  /** Versions of these services, listed ones and those that left recently. */
  recent(services: Iterable<string>): readonly StreamOrigin[] {
    return [...new Set(services)].flatMap((service) =>
      [...this.#services.get(service) ?? []]
        .filter(([, listed]) => this.#isRecent(listed))
        .map(([version]) => ({ service, version }))
    );
  }

  #recordListed(entry: EndpointEntry): void {
    const { service, version } = softwareOf(entry);
    const versions = this.#services.get(service) ??
      new Map<string, ListedVersion>();
    this.#services.set(service, versions);
    const known = versions.get(version);
    const isNew = known === undefined || !this.#isRecent(known);
    const endpoints = (known?.endpoints ?? 0) + 1;
    versions.set(version, { endpoints, leftAt: Number.NEGATIVE_INFINITY });
    if (isNew) this.#options.onNewVersion(service);
  }

  #recordGone(entry: EndpointEntry): void {
    const { service, version } = softwareOf(entry);
    const known = this.#services.get(service)?.get(version);
    if (known === undefined) return;
    known.endpoints--;
    known.leftAt = this.#options.timer.now();
  }

  #isRecent({ endpoints, leftAt }: ListedVersion): boolean {
    const now = this.#options.timer.now();
    return endpoints > 0 || now - leftAt < STREAM_LIFETIME_MILLISECONDS;
  }
}
