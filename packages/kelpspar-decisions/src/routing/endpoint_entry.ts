import type { AdaptiveLimit } from "./adaptive_limit.ts";
import type { CandidatePool } from "./candidate_pool.ts";
import type { EndpointHealth } from "./endpoint_health.ts";
import type { LoadEstimator } from "./load_estimator.ts";
import type { EndpointAddress, LoadReport } from "kelpspar-shared";
import { ProbeSchedule } from "./probe_schedule.ts";
import { hashText } from "./rendezvous_hash.ts";

/** State of an entry that is recreated for each generation. */
export interface EntryParts {
  readonly load: LoadEstimator;
  readonly health: EndpointHealth;
  readonly limit: AdaptiveLimit;
}

/** One endpoint within the registry; `EndpointStatus` is its public view. */
export class EndpointEntry {
  readonly hash: number;
  address: EndpointAddress;
  /** Counts incarnations, to distinguish calls to an earlier one. */
  generation = 0;
  leaving = false;
  report: LoadReport | undefined;
  /** Calls that the endpoint runs concurrently. */
  concurrency: number;
  load: LoadEstimator;
  health: EndpointHealth;
  limit: AdaptiveLimit;
  probes = new ProbeSchedule();
  /** The pools in which it is a candidate. */
  pools: readonly CandidatePool[] = [];

  constructor(
    address: EndpointAddress,
    options: EntryParts & { readonly concurrency: number },
  ) {
    this.address = address;
    this.hash = hashText(address.endpointId);
    this.concurrency = options.concurrency;
    this.load = options.load;
    this.health = options.health;
    this.limit = options.limit;
  }

  /** Starts a new generation that inherits nothing from the previous one. */
  reset(parts: EntryParts): void {
    this.generation++;
    this.report = undefined;
    this.load = parts.load;
    this.health = parts.health;
    this.limit = parts.limit;
    this.probes = new ProbeSchedule();
  }

  /** This daemon's calls allowed at `now`, at least 1; slow start lowers it. */
  limitAt(now: number): number {
    const weight = this.health.weightAt(now);
    return Math.max(1, Math.floor(this.limit.limit * weight));
  }

  /** Load divided by capacity at `now`; from 1 on calls would queue. */
  utilizationAt(now: number): number {
    return this.load.level / this.capacityAt(now);
  }

  /** Score by which candidates are compared at `now`; lower is better. */
  scoreAt(now: number): number {
    return (this.load.estimateAt(now) + 1) / this.capacityAt(now);
  }

  /** Concurrent calls allowed at `now` by slow start, above 0. */
  capacityAt(now: number): number {
    const weight = Math.max(0.01, this.health.weightAt(now));
    return this.concurrency * weight;
  }
}
