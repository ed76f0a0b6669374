import type { TimerService } from "kelpspar-shared";
import type { EndpointEntry } from "../endpoints/endpoint_entry.ts";
import type { EndpointRegistry } from "../endpoints/endpoint_registry.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import { softwareOf } from "./software_of.ts";

/** Longer than callers wait for a stream, over all of their attempts. */
export const STREAM_LIFETIME_MILLISECONDS = 60_000;

/** Options of `VersionHistory`. */
export interface VersionHistoryOptions {
  readonly registry: EndpointRegistry;
  readonly timer: TimerService;
}

/**
 * Software versions of each service that endpoints had within the lifetime of a
 * stream: any of them may have begun a stream that a caller resumes now.
 */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  /** When endpoints of a version were last listed, by service and version. */
  readonly #lastListedAt = new Map<string, Map<string, number>>();
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
    return this.#options.registry.registerGone((_id, _cause, entry) =>
      this.#recordListed(entry)
    );
  }

  /** Versions of these services, present ones and those that left recently. */
  recent(services: Iterable<string>): readonly StreamOrigin[] {
    const { registry, timer } = this.#options;
    const earliest = timer.now() - STREAM_LIFETIME_MILLISECONDS;
    return [...new Set(services)].flatMap((service) => {
      for (const { entry } of registry.listedFor(service)) {
        this.#recordListed(entry);
      }
      return [...this.#lastListedAt.get(service) ?? []]
        .filter(([, at]) => at > earliest)
        .map(([version]) => ({ service, version }));
    });
  }

  #recordListed(entry: EndpointEntry): void {
    const { service, version } = softwareOf(entry);
    const versions = this.#lastListedAt.get(service) ??
      new Map<string, number>();
    versions.set(version, this.#options.timer.now());
    this.#lastListedAt.set(service, versions);
  }
}
