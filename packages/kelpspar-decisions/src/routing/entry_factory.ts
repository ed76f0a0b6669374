import type { EntryParts } from "./endpoint_entry.ts";
import type { EndpointRegistryOptions } from "./endpoint_registry_options.ts";
import type { OutlierDetector } from "./outlier_detector.ts";
import type { EndpointAddress } from "kelpspar-shared";
import { AdaptiveLimit } from "./adaptive_limit.ts";
import { CallTimeAverage } from "./call_time_average.ts";
import { EndpointEntry } from "./endpoint_entry.ts";
import { LoadEstimator } from "./load_estimator.ts";

const DEFAULT_CONCURRENCY = 8;

/** Creates the registry's entries and the state of their new generations. */
export class EntryFactory {
  readonly #options: EndpointRegistryOptions;
  readonly #detector: OutlierDetector;
  readonly #callTimes = new Map<string, CallTimeAverage>();

  constructor(options: EndpointRegistryOptions, detector: OutlierDetector) {
    this.#options = options;
    this.#detector = detector;
  }

  createEntry(address: EndpointAddress): EndpointEntry {
    const concurrency = this.#options.assumedConcurrency?.(address.service) ??
      DEFAULT_CONCURRENCY;
    const parts = this.createParts(address, concurrency);
    return new EndpointEntry(address, { ...parts, concurrency });
  }

  createParts(address: EndpointAddress, concurrency: number): EntryParts {
    return {
      load: new LoadEstimator(this.#callTimeOf(address.service)),
      health: this.#detector.createHealth(address.endpointId),
      limit: new AdaptiveLimit({ slice: this.sliceOf(address, concurrency) }),
    };
  }

  /** This daemon's slice of an endpoint's concurrency. */
  sliceOf(address: EndpointAddress, concurrency: number): number {
    return this.#options.sliceOf?.(address, concurrency) ?? concurrency;
  }

  #callTimeOf(service: string): CallTimeAverage {
    const existing = this.#callTimes.get(service);
    if (existing !== undefined) return existing;
    const callTime = new CallTimeAverage();
    this.#callTimes.set(service, callTime);
    return callTime;
  }
}
