import type { AdaptiveLimit } from "./adaptive_limit.ts";
import type { CandidatePool } from "./candidate_pool.ts";
import type { EndpointHealth } from "./endpoint_health.ts";
import type { LoadView } from "./load_view.ts";
import type { EndpointAddress, LoadReport } from "kelpspar-shared";
import { ProbeSchedule } from "./probe_schedule.ts";
import { hashText } from "./rendezvous_hash.ts";

/** What an entry starts with, anew for each generation. */
export interface EntryParts {
  readonly load: LoadView;
  readonly health: EndpointHealth;
  readonly limit: AdaptiveLimit;
}

/** One endpoint inside the registry; readers outside get its status. */
export class EndpointEntry {
  readonly hash: number;
  address: EndpointAddress;
  /** Counts incarnations, so that calls to an earlier one are told apart. */
  generation = 0;
  leaving = false;
  report: LoadReport | undefined;
  /** Calls it runs at a time. */
  concurrency: number;
  load: LoadView;
  health: EndpointHealth;
  limit: AdaptiveLimit;
  probes = new ProbeSchedule();
  /** The pools that it is a candidate of. */
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

  /** Begins a generation that inherits nothing from the one before. */
  renew(parts: EntryParts): void {
    this.generation++;
    this.report = undefined;
    this.load = parts.load;
    this.health = parts.health;
    this.limit = parts.limit;
    this.probes = new ProbeSchedule();
  }

  /** Own calls allowed at `now`; slow start lowers it, but never to none. */
  limitAt(now: number): number {
    const weight = this.health.weightAt(now);
    return Math.max(1, Math.floor(this.limit.limit * weight));
  }

  /** Load over what it may take at `now`; 1 means that calls would wait. */
  utilizationAt(now: number): number {
    return this.load.level / this.capacityAt(now);
  }

  /** What candidates compete by at `now`: the lower, the better. */
  scoreAt(now: number): number {
    return (this.load.estimateAt(now) + 1) / this.capacityAt(now);
  }

  /** Calls it may run at a time at `now`, above 0. */
  capacityAt(now: number): number {
    const weight = Math.max(0.01, this.health.weightAt(now));
    return this.concurrency * weight;
  }
}
